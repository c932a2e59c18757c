#pragma once

#include "core/product_policies.hpp"
#include "routing/least_wait_selector.hpp"

namespace samphire::bench
{

/// The product policies with least_wait_selector, which is a candidate for the
/// product's selector.
struct least_wait_policies : product_policies
{
    using selector = least_wait_selector;
};

static_assert(policies<least_wait_policies>);

} // namespace samphire::bench
