#pragma once

#include <cstdint>
#include <string_view>

namespace samphire
{

/// Where a change of the local upstream's record was learned from.
enum class record_source : std::uint8_t
{
    heartbeat,
    /// The upstream answered a health check.
    health,
    /// The upstream announced its departure without a draining heartbeat.
    removal,
    /// An answer of the upstream stated that the upstream is leaving.
    answer,
    store,
    peer,
};

/// Returns the word that log lines use.
constexpr std::string_view record_source_text(record_source source)
{
    switch (source)
    {
    case record_source::heartbeat:
        return "heartbeat";
    case record_source::health:
        return "health";
    case record_source::removal:
        return "removal";
    case record_source::answer:
        return "answer";
    case record_source::store:
        return "store";
    case record_source::peer:
        return "peer";
    }
    return "";
}

} // namespace samphire
