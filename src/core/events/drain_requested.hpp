#pragma once

namespace samphire
{

/// The upstream or an operator asks that no new work is sent here.
struct drain_requested
{
    friend bool
    operator==(drain_requested const&, drain_requested const&) = default;
};

} // namespace samphire
