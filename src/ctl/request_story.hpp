#pragma once

#include "ctl/log_record.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphire
{

/// Gathers what daemons have logged of one request and of the calls made for
/// it, and says what ended it.
class request_story
{
public:
    /// `attempt`: id of the client's attempt.
    explicit request_story(std::string attempt) : attempt_(std::move(attempt))
    {
    }

    /// One daemon's log; lines that are none are passed over.
    void add_log(std::string_view text, std::string_view file);

    /// Lines in order of time, then the cause. Empty when nothing was found.
    std::string text() const;

private:
    bool concerns(log_record const& record) const;
    std::string conclusion(std::vector<log_record const*> const& own) const;

    std::string attempt_;
    std::vector<log_record> records_;
};

} // namespace samphire
