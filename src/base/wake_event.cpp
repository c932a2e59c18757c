#include "base/wake_event.hpp"

#include <cerrno>
#include <cstdint>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace samphire
{

wake_event::wake_event() : descriptor_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (!descriptor_.valid())
        throw std::system_error(errno, std::generic_category(), "eventfd");
}

void wake_event::notify()
{
    if (notified_.exchange(true))
        return;
    std::uint64_t const one = 1;
    // A full counter already keeps the descriptor readable.
    [[maybe_unused]] auto const written =
        ::write(descriptor_.get(), &one, sizeof one);
}

void wake_event::clear()
{
    std::uint64_t count = 0;
    [[maybe_unused]] auto const size =
        ::read(descriptor_.get(), &count, sizeof count);
    // Reset only after the read. The caller looks into its queue afterwards, so
    // it sees a value whose notification came between the two.
    notified_.exchange(false);
}

} // namespace samphire
