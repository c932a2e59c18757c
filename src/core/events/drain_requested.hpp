#pragma once

namespace samphire
{

/// The local upstream or an operator asked this daemon to take no new work.
struct drain_requested
{
    friend bool
    operator==(drain_requested const&, drain_requested const&) = default;
};

} // namespace samphire
