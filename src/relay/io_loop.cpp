#include "relay/io_loop.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <system_error>
#include <utility>

namespace samphire
{

namespace
{

constexpr int max_events_per_wait = 128;
constexpr absl::Duration max_wait = absl::Seconds(60);
constexpr unsigned generation_shift = 32;

std::uint64_t pack_event_data(int descriptor, std::uint32_t generation)
{
    return (std::uint64_t{generation} << generation_shift) |
           static_cast<std::uint32_t>(descriptor);
}

} // namespace

io_loop::io_loop() : epoll_(::epoll_create1(EPOLL_CLOEXEC))
{
    if (!epoll_.valid())
        throw std::system_error(errno, std::generic_category(), "epoll");
}

void io_loop::add(
    int descriptor,
    std::uint32_t events,
    handler on_ready,
    descriptor_role role)
{
    auto const index = static_cast<std::size_t>(descriptor);
    if (registrations_.size() <= index)
        registrations_.resize(index + 1);
    registrations_[index].on_ready_ = std::move(on_ready);
    registrations_[index].role_ = role;
    registrations_[index].has_failed_ = false;
    epoll_event request{};
    request.events = events;
    request.data.u64 =
        pack_event_data(descriptor, ++registrations_[index].generation_);
    if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, descriptor, &request) != 0)
        throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

void io_loop::modify(int descriptor, std::uint32_t events)
{
    epoll_event request{};
    request.events = events;
    request.data.u64 = pack_event_data(
        descriptor,
        registrations_[static_cast<std::size_t>(descriptor)].generation_);
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, descriptor, &request);
}

void io_loop::remove(int descriptor)
{
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, descriptor, nullptr);
    registration& removed =
        registrations_[static_cast<std::size_t>(descriptor)];
    removed.on_ready_ = nullptr;
    // Invalidates events of this descriptor that epoll_wait() has returned but
    // run_once() has not delivered yet.
    ++removed.generation_;
}

void io_loop::run_once(absl::Duration timeout)
{
    std::array<epoll_event, max_events_per_wait> ready{};
    absl::Duration const bounded_timeout =
        std::clamp(timeout, absl::ZeroDuration(), max_wait);
    int const count = ::epoll_wait(
        epoll_.get(),
        ready.data(),
        max_events_per_wait,
        static_cast<int>(absl::ToInt64Milliseconds(
            absl::Ceil(bounded_timeout, absl::Milliseconds(1)))));
    for (int i = 0; i < count; ++i)
    {
        epoll_event const& event = ready[static_cast<std::size_t>(i)];
        auto const index = static_cast<std::uint32_t>(event.data.u64);
        auto const generation =
            static_cast<std::uint32_t>(event.data.u64 >> generation_shift);
        registration const& target = registrations_[index];
        if (target.generation_ == generation && target.on_ready_)
            call_handler(index, event.events);
    }
}

void io_loop::call_handler(std::uint32_t index, std::uint32_t events)
{
    std::uint32_t const generation = registrations_[index].generation_;
    // Calls a copy of the handler, since the handler may remove its own
    // descriptor.
    handler const on_ready = registrations_[index].on_ready_;
    try
    {
        on_ready(events);
    }
    catch (std::exception const& error)
    {
        if (on_error_)
            on_error_(error);
        on_handler_error(index, generation);
    }
}

void io_loop::on_handler_error(std::uint32_t index, std::uint32_t generation)
{
    registration& failed = registrations_[index];
    if (failed.generation_ != generation ||
        failed.role_ == descriptor_role::service)
        return;
    int const descriptor = static_cast<int>(index);
    // The owner closes the connection when it reads the end of the stream. If
    // it throws again instead, the loop must not call it for ever.
    if (std::exchange(failed.has_failed_, true))
        remove(descriptor);
    else
        ::shutdown(descriptor, SHUT_RDWR);
}

} // namespace samphire
