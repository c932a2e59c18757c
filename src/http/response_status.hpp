#pragma once

namespace samphire
{

/// Returns whether a response may have this status code. RFC 9110, section 15,
/// allows 100 to 599; a response with any other code is no answer.
constexpr bool is_valid_response_status(unsigned status)
{
    constexpr unsigned first_status = 100;
    constexpr unsigned last_status = 599;
    // Answers only a request for an upgrade, which no client here sends.
    constexpr unsigned switching_protocols = 101;
    return status >= first_status && status <= last_status &&
           status != switching_protocols;
}

} // namespace samphire
