#pragma once

#include "ctl/log_record.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphire
{

/// Collects the log lines of daemons about one attempt and the calls made for
/// it, and tells what ended the attempt.
class request_timeline
{
public:
    /// `attempt` is the id of the client's attempt.
    explicit request_timeline(std::string attempt)
        : attempt_(std::move(attempt))
    {
    }

    /// Adds the log of one daemon; skips lines of another form.
    void add_log(std::string_view text, std::string_view file);

    /// Returns the lines in order of time, then the cause; empty when no line
    /// names the attempt.
    std::string text() const;

private:
    bool belongs_to_attempt(log_record const& record) const;
    std::string
    format_cause(std::vector<log_record const*> const& attempt_records) const;

    std::string attempt_;
    std::vector<log_record> records_;
};

} // namespace samphire
