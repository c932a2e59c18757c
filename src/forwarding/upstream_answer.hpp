#pragma once

#include "base/payload.hpp"
#include "forwarding/upstream_id.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace samphire
{

/// A whole answer of the upstream, decoded.
struct upstream_answer
{
    std::uint16_t status_{};
    /// Header lines that are passed on, each ended by CR LF.
    std::string headers_{};
    payload body_{};
    /// The upstream stands for this answer.
    bool signed_{};
    /// The upstream says that it has not run the request.
    bool not_run_{};
    /// The request expected another upstream than the one that answered.
    bool other_upstream_{};
    /// Bytes that another party has changed.
    bool encoded_{};
    /// How long work takes on the VM now; 1 is usual. Nothing when untold.
    std::optional<double> pace_{};

    friend bool
    operator==(upstream_answer const&, upstream_answer const&) = default;
};

} // namespace samphire
