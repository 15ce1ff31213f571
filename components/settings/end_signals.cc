#include "components/settings/end_signals.h"

#include <pthread.h>

#include <cstdlib>
#include <iostream>

namespace kingcupstair::settings {

TerminationSignals::TerminationSignals() {
  sigemptyset(&this->signals);
  sigaddset(&this->signals, SIGTERM);
  sigaddset(&this->signals, SIGINT);
  sigaddset(&this->signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void TerminationSignals::Wait(const std::function<void()>& on_reload) const {
  int signal = SIGHUP;
  while (signal == SIGHUP) {
    sigwait(&this->signals, &signal);
    if (signal == SIGHUP && on_reload) {
      on_reload();
    }
  }
}

void ExitProcess(int code) {
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(code);
}

}  // namespace kingcupstair::settings
