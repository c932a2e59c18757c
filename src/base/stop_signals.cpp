#include "base/stop_signals.hpp"

#include <csignal>
#include <pthread.h>

namespace samphire
{

namespace
{

sigset_t stop_signal_set()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

stop_signals::stop_signals()
{
    sigset_t const set = stop_signal_set();
    ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void stop_signals::wait() const
{
    sigset_t const set = stop_signal_set();
    int received = 0;
    ::sigwait(&set, &received);
}

} // namespace samphire
