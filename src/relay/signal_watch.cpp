#include "relay/signal_watch.hpp"

#include <csignal>
#include <pthread.h>

namespace samphire
{

namespace
{

sigset_t watched_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

} // namespace

signal_watch::signal_watch()
{
    sigset_t const set = watched_signals();
    ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

std::optional<signal_watch::kind>
signal_watch::wait(absl::Duration timeout) const
{
    sigset_t const set = watched_signals();
    timespec const limit = absl::ToTimespec(timeout);
    int const received = ::sigtimedwait(&set, nullptr, &limit);
    if (received == SIGHUP)
        return kind::reload;
    if (received == SIGTERM || received == SIGINT)
        return kind::stop;
    return std::nullopt;
}

} // namespace samphire
