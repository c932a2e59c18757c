#pragma once

#include "base/payload.hpp"
#include "forwarding/upstream_id.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace samphire
{

/// A complete HTTP answer of the upstream, with the values decoded from its
/// headers.
struct upstream_answer
{
    std::uint16_t status_{};
    /// Header lines of the answer that are forwarded to the client, each ending
    /// with CR LF.
    std::string headers_{};
    payload body_{};
    /// Whether the answer carries the upstream's signature header.
    bool has_signature_{};
    /// Whether the answer states that the upstream has not run the request.
    bool not_run_{};
    /// Whether the answer states that the request was meant for another
    /// upstream (status 421).
    bool misdirected_{};
    /// Whether the answer has a Content-Encoding header, which means that an
    /// intermediary changed its bytes.
    bool has_content_encoding_{};
    /// Slowdown factor of the VM: 1 at normal speed, 2 when work takes twice as
    /// long. Empty when the upstream did not report a factor.
    std::optional<double> slowdown_factor_{};
    /// Requests per 1,000 s that the upstream accepts from all daemons
    /// together; empty when the answer names no limit.
    std::optional<std::uint32_t> max_requests_per_ks_{};
    /// Whether the answer states that the upstream is leaving.
    bool is_leaving_{};

    friend bool
    operator==(upstream_answer const&, upstream_answer const&) = default;
};

} // namespace samphire
