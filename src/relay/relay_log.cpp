#include "relay/relay_log.hpp"

#include "logging/quoted_value.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <iterator>

namespace samphire
{

namespace
{

std::string
line_prefix(std::string_view level, std::string_view event, absl::Time now)
{
    return fmt::format(
        "at_ms={} level={} channel=relay event={}",
        absl::ToUnixMillis(now),
        level,
        event);
}

void append_field(
    std::string& line, std::string_view key, std::string_view value)
{
    if (!value.empty())
        fmt::format_to(std::back_inserter(line), " {}={}", key, value);
}

void append_field(std::string& line, std::string_view key, std::int64_t value)
{
    if (value >= 0)
        fmt::format_to(std::back_inserter(line), " {}={}", key, value);
}

} // namespace

void relay_log::log_decision(decision_record const& record, absl::Time now)
{
    std::uint64_t omitted_lines = 0;
    bool const is_success = record.event_ == "request_answered";
    event_rate_limiter& limiter =
        is_success ? success_rate_limiter_ : rate_limiter_;
    if (!limiter.try_acquire(record.event_, now, omitted_lines))
        return;
    std::string line =
        line_prefix(is_success ? "info" : "warning", record.event_, now);
    // The client chooses the id; a space in it would look like another field.
    bool const is_one_word =
        record.attempt_.find_first_of(" \t\"") == std::string::npos;
    append_field(
        line,
        "attempt",
        is_one_word ? record.attempt_ : quoted_value(record.attempt_));
    append_field(line, "reason", verdict_reason_text(record.reason_));
    append_field(line, "service", record.service_);
    append_field(line, "route", record.route_);
    append_field(line, "peer", record.peer_);
    append_field(line, "progress", record.progress_);
    if (record.policy_version_ > 0)
        append_field(
            line, "policy", fmt::format("{:x}", record.policy_version_));
    append_field(line, "exchange", static_cast<std::int64_t>(record.exchange_));
    append_field(line, "status", record.status_);
    append_field(line, "tries", record.guards_tried_);
    append_field(line, "running", record.running_executions_);
    append_field(line, "queued", record.queued_executions_);
    append_field(line, "slots", record.slots_);
    append_field(line, "left_ms", record.remaining_ms_);
    append_field(line, "wait_ms", record.wait_ms_);
    append_field(line, "report_age_ms", record.load_report_age_ms_);
    append_field(line, "pressure_permille", record.pressure_permille_);
    append_field(line, "limit_per_ks", record.limit_per_ks_);
    if (omitted_lines > 0)
        append_field(line, "omitted", static_cast<std::int64_t>(omitted_lines));
    writer_.write(std::move(line));
}

void relay_log::log_event(
    std::string_view level,
    std::string_view name,
    std::string const& fields,
    absl::Time now)
{
    std::uint64_t omitted_lines = 0;
    if (!rate_limiter_.try_acquire(name, now, omitted_lines))
        return;
    std::string line = line_prefix(level, name, now);
    if (!fields.empty())
        line += " " + fields;
    if (omitted_lines > 0)
        append_field(line, "omitted", static_cast<std::int64_t>(omitted_lines));
    writer_.write(std::move(line));
}

} // namespace samphire
