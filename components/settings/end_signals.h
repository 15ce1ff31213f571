#ifndef COMPONENTS_SETTINGS_END_SIGNALS_H_
#define COMPONENTS_SETTINGS_END_SIGNALS_H_

#include <csignal>
#include <functional>

namespace kingcupstair::settings {

/// Blocks SIGTERM, SIGINT and SIGHUP, so that only Wait receives them, and
/// ignores SIGPIPE. Must be constructed before any thread starts, since threads
/// inherit the signal mask.
class TerminationSignals {
 public:
  TerminationSignals();

  /// Blocks until SIGTERM or SIGINT arrives. Calls `on_reload`, if set, for
  /// each SIGHUP until then.
  void Wait(const std::function<void()>& on_reload = nullptr) const;

 private:
  sigset_t signals;
};

/// Flushes the standard streams and exits with `code`, without destructors or
/// exit handlers. Fibers that wait on sockets forever keep their threads from
/// ending, so a regular exit would not return.
[[noreturn]] void ExitProcess(int code);

}  // namespace kingcupstair::settings

#endif  // COMPONENTS_SETTINGS_END_SIGNALS_H_
