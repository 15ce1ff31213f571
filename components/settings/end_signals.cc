#include "components/settings/end_signals.h"

#include <pthread.h>

#include <cstdlib>
#include <iostream>

namespace kingcupstair::settings {

EndSignals::EndSignals() {
  sigemptyset(&this->signals);
  sigaddset(&this->signals, SIGTERM);
  sigaddset(&this->signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void EndSignals::Wait() const {
  int signal = 0;
  sigwait(&this->signals, &signal);
}

void EndProcess(int code) {
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(code);
}

}  // namespace kingcupstair::settings
