#include "ctl/run_command.hpp"

#include "ctl/apply_command.hpp"
#include "ctl/drain_command.hpp"
#include "ctl/file_reader.hpp"
#include "ctl/request_timeline.hpp"
#include "ctl/status_command.hpp"
#include "ctl/validate_command.hpp"
#include "operations/blocking_platform_client.hpp"
#include "operations/daemon_survey.hpp"
#include "policy/policy_limits.hpp"

namespace samphire
{

namespace
{

command_result usage_error(std::string text)
{
    return {.code_ = exit_code::usage, .errors_ = std::move(text) + "\n"};
}

command_result
apply_to_platform(std::string const& text, setting_values const& settings)
{
    if (settings.address("platform-address").empty())
        return usage_error("--platform-address: is required for apply");
    blocking_platform_client platform(settings.address("platform-address"));
    policy_store store(platform);
    return apply_document(text, store);
}

command_result
run_on_file(command_line const& line, setting_values const& settings)
{
    if (line.operand_.empty())
        return usage_error("FILE: is required for " + line.command_);
    auto const text =
        read_file(line.operand_, policy_limits::max_document_bytes);
    if (!text)
        return usage_error("FILE: must be a readable file: " + line.operand_);
    return line.command_ == "validate" ? validate_document(*text)
                                       : apply_to_platform(*text, settings);
}

command_result query_status(setting_values const& settings)
{
    if (settings.address_list("daemons").empty())
        return usage_error("--daemons: is required for status");
    blocking_http_client calls;
    daemon_survey survey(
        calls,
        settings.address_list("daemons"),
        settings.duration("daemon-timeout-ms"));
    return report_rollout(summarize_reports(survey.collect_reports()));
}

command_result drain(command_line const& line, setting_values const& settings)
{
    auto const daemon = endpoint::parse(line.operand_);
    if (!daemon)
        return usage_error(
            "DAEMON-HTTP-ADDRESS: must be a.b.c.d:port with a port from 1 to "
            "65535");
    blocking_http_client calls;
    return drain_daemon(*daemon, calls, settings.duration("daemon-timeout-ms"));
}

command_result explain(command_line const& line)
{
    constexpr std::size_t max_log_bytes = 256u << 20;
    if (line.operand_.empty())
        return usage_error("ATTEMPT-ID: is required for explain");
    if (line.further_operands_.empty())
        return usage_error("LOG-FILE: at least one is required for explain");
    request_timeline timeline(line.operand_);
    for (std::string const& path : line.further_operands_)
    {
        auto const text = read_file(path, max_log_bytes);
        if (!text)
            return usage_error("LOG-FILE: must be a readable file: " + path);
        if (text->size() > max_log_bytes)
            return usage_error("LOG-FILE: must not exceed 256 MB: " + path);
        timeline.add_log(*text, path);
    }
    std::string found = timeline.text();
    if (found.empty())
        return {
            .code_ = exit_code::refused,
            .errors_ = "no line of these logs names attempt " + line.operand_ +
                       "; lines over the rate limit of an event are not "
                       "logged, see omitted= on the next line of that event\n"};
    return {.output_ = std::move(found)};
}

} // namespace

command_result
run_command(command_line const& line, setting_values const& settings)
{
    if (line.command_ == "explain")
        return explain(line);
    if (!line.further_operands_.empty())
        return usage_error(line.command_ + ": takes one operand at most");
    if (line.command_ == "validate" || line.command_ == "apply")
        return run_on_file(line, settings);
    if (line.command_ == "status" && !line.operand_.empty())
        return usage_error("status: takes no operand, only --daemons");
    if (line.command_ == "status")
        return query_status(settings);
    if (line.command_ == "drain")
        return drain(line, settings);
    return usage_error(
        "command: must be validate FILE, apply FILE, status, drain "
        "DAEMON-HTTP-ADDRESS or explain ATTEMPT-ID LOG-FILE...");
}

} // namespace samphire
