#pragma once

#include "base/bounded_ring.hpp"
#include "http/http_client_error.hpp"
#include "http/http_response.hpp"
#include "http/request_token.hpp"

#include <absl/time/time.h>

#include <optional>

namespace samphire
{

/// Records the answers to requests of an HTTP client; a failed request is
/// recorded with status 0.
class answer_recorder
{
public:
    void on_response(request_token, http_response const& response)
    {
        answers_.push(response);
    }

    void on_failure(request_token, http_client_error)
    {
        answers_.push({.status_ = 0});
    }

    /// Waits for the next answer; returns nothing when none arrives within 5 s.
    std::optional<http_response> next_answer()
    {
        return answers_.pop(absl::Seconds(5));
    }

private:
    bounded_ring<http_response> answers_{64};
};

} // namespace samphire
