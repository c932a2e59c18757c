#pragma once

#include "forwarding/messages/execution_key.hpp"
#include "forwarding/upstream_answer.hpp"
#include "forwarding/upstream_failure.hpp"

#include <concepts>
#include <cstdint>

namespace samphire
{

/// Receives the outcomes of requests and probes to the upstream.
template <class T>
concept upstream_handler = requires(
    T handler,
    execution_key key,
    std::uint64_t fingerprint,
    upstream_answer const& answer,
    upstream_failure failure)
{
    {handler.on_upstream_answer(key, answer)};
    {handler.on_upstream_failure(key, fingerprint, failure)};
    {handler.on_upstream_probe_result(true)};
};

} // namespace samphire
