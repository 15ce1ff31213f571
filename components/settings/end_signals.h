#ifndef COMPONENTS_SETTINGS_END_SIGNALS_H_
#define COMPONENTS_SETTINGS_END_SIGNALS_H_

#include <csignal>
#include <functional>

namespace kingcupstair::settings {

/// Takes the signals that ask a process to end. Made before any thread is
/// started, so that all threads leave the signals to it.
class EndSignals {
 public:
  EndSignals();

  /// Waits for SIGTERM or SIGINT; SIGHUP calls `on_reload` meanwhile.
  void Wait(const std::function<void()>& on_reload = nullptr) const;

 private:
  sigset_t signals;
};

/// Ends the process with `code`. Fibers that wait on sockets for good keep a
/// thread from ending, so a process that has nothing left to do ends this way.
[[noreturn]] void EndProcess(int code);

}  // namespace kingcupstair::settings

#endif  // COMPONENTS_SETTINGS_END_SIGNALS_H_
