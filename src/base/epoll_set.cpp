#include "base/epoll_set.hpp"

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace samphire
{

namespace
{

constexpr int events_per_wait = 64;
constexpr absl::Duration max_wait = absl::Seconds(3600);

int timeout_ms_rounded_up(absl::Duration timeout)
{
    absl::Duration const bounded =
        std::clamp(timeout, absl::ZeroDuration(), max_wait);
    return static_cast<int>(
        absl::ToInt64Milliseconds(absl::Ceil(bounded, absl::Milliseconds(1))));
}

} // namespace

epoll_set::epoll_set() : descriptor_(::epoll_create1(EPOLL_CLOEXEC))
{
    if (!descriptor_.valid())
        throw std::system_error(errno, std::generic_category(), "epoll");
}

void epoll_set::add(int descriptor, std::uint32_t events)
{
    epoll_event entry{};
    entry.events = events;
    entry.data.fd = descriptor;
    if (::epoll_ctl(descriptor_.get(), EPOLL_CTL_ADD, descriptor, &entry) != 0)
        throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

void epoll_set::modify(int descriptor, std::uint32_t events)
{
    epoll_event entry{};
    entry.events = events;
    entry.data.fd = descriptor;
    ::epoll_ctl(descriptor_.get(), EPOLL_CTL_MOD, descriptor, &entry);
}

void epoll_set::remove(int descriptor)
{
    ::epoll_ctl(descriptor_.get(), EPOLL_CTL_DEL, descriptor, nullptr);
}

std::vector<epoll_event> epoll_set::wait(absl::Duration timeout)
{
    std::vector<epoll_event> ready(events_per_wait);
    int const count = ::epoll_wait(
        descriptor_.get(),
        ready.data(),
        events_per_wait,
        timeout_ms_rounded_up(timeout));
    ready.resize(static_cast<std::size_t>(std::max(count, 0)));
    return ready;
}

} // namespace samphire
