#pragma once

#include "core/product_policies.hpp"
#include "routing/least_wait_selector.hpp"

namespace samphire::bench
{

/// The product with the candidate selector, to measure it against.
struct least_wait_policies : product_policies
{
    using selector = least_wait_selector;
};

static_assert(policies<least_wait_policies>);

} // namespace samphire::bench
