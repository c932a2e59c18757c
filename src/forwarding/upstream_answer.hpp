#pragma once

#include "base/payload.hpp"
#include "forwarding/upstream_id.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace samphire
{

/// A complete, decoded answer of the upstream.
struct upstream_answer
{
    std::uint16_t status_{};
    /// Forwarded header lines, each ending with CR LF.
    std::string headers_{};
    payload body_{};
    /// The answer carries the upstream's signature header.
    bool has_signature_{};
    /// The upstream says that it has not run the request.
    bool not_run_{};
    /// The upstream answered that the request was meant for another upstream
    /// (status 421).
    bool misdirected_{};
    /// The answer has a Content-Encoding header, so its bytes were changed by
    /// an intermediary.
    bool has_content_encoding_{};
    /// Slowdown factor of the VM: 1 at normal speed, 2 when work takes twice as
    /// long. Empty when the upstream did not report it.
    std::optional<double> slowdown_factor_{};

    friend bool
    operator==(upstream_answer const&, upstream_answer const&) = default;
};

} // namespace samphire
