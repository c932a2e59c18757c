#pragma once

#include "fuzz/decoder_case.hpp"

#include <vector>

namespace samphire::bench
{

/// Returns the decoders of the relay: documents of the platform, requests and
/// answers, and messages of other relays.
std::vector<decoder_case> relay_decoder_cases();

/// Returns the decoders of samphire-daemon, samphirectl and the console.
std::vector<decoder_case> daemon_decoder_cases();

} // namespace samphire::bench
