#pragma once

#include "tracing/span.hpp"

namespace samphire
{

struct emit_span
{
    span const span_{};

    friend bool operator==(emit_span const&, emit_span const&) = default;
};

} // namespace samphire
