#include "ctl/request_story.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace samphire
{

namespace
{

struct cause
{
    std::string_view reason_;
    std::string_view text_;
};

constexpr std::array causes{
    cause{"overloaded", "a service that it needs had no room; it was not run"},
    cause{"expired", "too little time was left to run it; it was not run"},
    cause{"no_policy", "the daemon knew no policy yet; it was not run"},
    cause{"no_route", "no route of the policy in force matches it"},
    cause{
        "no_upstream",
        "no upstream of the service could be reached; it was not run"},
    cause{"upstream_leaving", "the upstream was leaving; it was not run"},
    cause{"daemon_stopping", "the daemon was stopping; it was not run"},
    cause{"wrong_service", "the VM served another service; it was not run"},
    cause{"rejected", "the upstream itself refused it, unrun"},
    cause{
        "connection_lost",
        "the upstream closed the connection before its answer; it may have "
        "run"},
    cause{
        "guard_lost",
        "the connection to the guard was lost meanwhile; it may have run"},
    cause{"garbled", "the upstream's answer was not whole; it has run"},
    cause{
        "upstream_timeout",
        "the upstream had not answered at the deadline; it may have run"},
    cause{
        "crash_suspect",
        "it was there at several crashes of upstreams and is refused"},
    cause{"client_left", "the client closed its connection"}};

std::string_view text_of(std::string_view reason)
{
    auto const found = std::find_if(
        causes.begin(),
        causes.end(),
        [&](cause const& each) { return each.reason_ == reason; });
    return found == causes.end() ? std::string_view() : found->text_;
}

/// Events that explain a lost connection.
bool is_loss(log_record const& record)
{
    std::string_view const event = record.field("event");
    return event == "peer_lost" || event == "upstream_down" ||
           event == "store_lost" || event == "stopping";
}

std::string line_of(log_record const& record)
{
    std::string line = fmt::format("{} {}", record.at_ms_, record.source_);
    for (auto const& [name, value] : record.fields_)
    {
        if (name != "at_ms" && name != "level" && name != "channel")
            line += fmt::format(" {}={}", name, value);
    }
    return line + "\n";
}

} // namespace

void request_story::add_log(std::string_view text, std::string_view file)
{
    while (!text.empty())
    {
        auto const end = std::min(text.find('\n'), text.size());
        auto record = parse_log_line(text.substr(0, end), file);
        if (record && (concerns(*record) || is_loss(*record)))
            records_.push_back(std::move(*record));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

bool request_story::concerns(log_record const& record) const
{
    std::string_view const id = record.field("attempt");
    // Upstreams of the users' platform name a call PARENT.CHILD.
    return id == attempt_ ||
           (id.starts_with(attempt_) && id.substr(attempt_.size())[0] == '.');
}

std::string
request_story::conclusion(std::vector<log_record const*> const& own) const
{
    log_record const* last = nullptr;
    log_record const* deepest = nullptr;
    for (log_record const* const record : own)
    {
        std::string_view const event = record->field("event");
        bool const is_root = record->field("attempt") == attempt_;
        if (is_root &&
            (event.starts_with("request_") || event == "client_left"))
            last = record;
        if (!is_root && !text_of(record->field("reason")).empty())
            deepest = record;
    }
    std::string result;
    if (last)
        result += fmt::format(
            "cause: {} status={} reason={}: {}\n",
            last->field("event"),
            last->field("status"),
            last->field("reason"),
            text_of(last->field("reason")).empty()
                ? "the upstream's own answer"
                : text_of(last->field("reason")));
    if (deepest)
        result += fmt::format(
            "call: {} to service={} reason={}: {}\n",
            deepest->field("attempt"),
            deepest->field("service"),
            deepest->field("reason"),
            text_of(deepest->field("reason")));
    return result;
}

std::string request_story::text() const
{
    // Clocks of VMs differ; a loss is shown when it is this near.
    constexpr std::int64_t near_ms = 2000;
    std::vector<log_record const*> own;
    for (log_record const& record : records_)
    {
        if (concerns(record))
            own.push_back(&record);
    }
    if (own.empty())
        return {};
    std::vector<log_record const*> shown = own;
    for (log_record const& record : records_)
    {
        bool const near = std::any_of(
            own.begin(),
            own.end(),
            [&](log_record const* each)
            {
                return each->source_ == record.source_ &&
                       std::abs(each->at_ms_ - record.at_ms_) <= near_ms;
            });
        if (is_loss(record) && near)
            shown.push_back(&record);
    }
    std::stable_sort(
        shown.begin(),
        shown.end(),
        [](log_record const* left, log_record const* right)
        { return left->at_ms_ < right->at_ms_; });
    std::string result;
    for (log_record const* const record : shown)
        result += line_of(*record);
    return result + conclusion(own);
}

} // namespace samphire
