#include "scenario/scenario_parser.hpp"

#include "base/text.hpp"
#include "scenario/scenario_line.hpp"

#include <absl/time/time.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace samphire::scenario
{

namespace
{

/// Thrown when a line of a scenario file violates a rule; parse_scenario()
/// converts the exception to a scenario_error.
class rule_violation : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

scenario_line split_line(std::size_t line_number, std::string_view text)
{
    std::vector<std::string> words;
    std::map<std::string, std::string> options;
    for (std::string_view const part : split(text, ' '))
    {
        auto const equals_position = part.find('=');
        bool const is_relation = part == "==" || part == "<=" || part == ">=";
        if (part.empty())
            continue;
        if (equals_position == std::string_view::npos || is_relation)
            words.emplace_back(part);
        else
            options.emplace(
                part.substr(0, equals_position),
                part.substr(equals_position + 1));
    }
    return {line_number, std::move(words), std::move(options)};
}

absl::Duration parse_duration(std::string const& text)
{
    absl::Duration value;
    if (!absl::ParseDuration(text, &value) || value < absl::ZeroDuration())
        throw rule_violation("'" + text + "' must be a duration such as 250ms");
    return value;
}

unsigned parse_count(std::string const& text)
{
    auto const value = parse_number<unsigned>(text);
    if (!value)
        throw rule_violation("'" + text + "' must be a whole number");
    return *value;
}

double parse_decimal(std::string const& text)
{
    auto const value = parse_number<double>(text);
    if (!value)
        throw rule_violation("'" + text + "' must be a number");
    return *value;
}

std::string option_value(
    scenario_line const& line,
    std::string const& name,
    std::string const& default_value)
{
    auto const found = line.options_.find(name);
    return found == line.options_.end() ? default_value : found->second;
}

std::string const& required_word(scenario_line const& line, std::size_t index)
{
    if (index >= line.words_.size())
        throw rule_violation("a word is missing after " + line.words_.back());
    return line.words_[index];
}

std::pair<std::string, std::string>
split_service_and_route(std::string const& text)
{
    auto const slash_position = text.find('/');
    if (slash_position == std::string::npos)
        throw rule_violation("'" + text + "' must be service/route");
    return {text.substr(0, slash_position), text.substr(slash_position + 1)};
}

std::vector<std::string> split_list(std::string const& text)
{
    std::vector<std::string> result;
    for (std::string_view const part : split(text, ','))
    {
        if (!part.empty())
            result.emplace_back(part);
    }
    return result;
}

template <class Value, std::size_t Count>
Value parse_choice(
    std::string const& text,
    std::array<std::pair<std::string_view, Value>, Count> const& choices)
{
    for (auto const& [name, value] : choices)
    {
        if (name == text)
            return value;
    }
    throw rule_violation("'" + text + "' is not one of the allowed words");
}

node_setup parse_node(scenario_line const& line)
{
    std::vector<fake::child_call> calls;
    for (std::string const& call : split_list(option_value(line, "calls", "")))
    {
        auto const [service, route] = split_service_and_route(call);
        calls.push_back({service_name(service), route_name(route)});
    }
    return {
        .name_ = required_word(line, 1),
        .domain_ = option_value(line, "domain", "a"),
        .upstream_ = {
            .service_ = service_name(
                option_value(line, "service", required_word(line, 1))),
            .slots_ = parse_count(option_value(line, "slots", "10")),
            .service_time_ = parse_duration(option_value(line, "time", "10ms")),
            .child_calls_ = std::move(calls)}};
}

load_setup parse_load(scenario_line const& line)
{
    constexpr std::array<std::pair<std::string_view, resend_mode>, 4>
        resend_choices{
            std::pair{std::string_view("none"), resend_mode::none},
            std::pair{std::string_view("ticket"), resend_mode::ticket},
            std::pair{std::string_view("key"), resend_mode::key},
            std::pair{std::string_view("same"), resend_mode::same}};
    auto const [service, route] =
        split_service_and_route(required_word(line, 1));
    return {
        .service_ = service,
        .route_ = route,
        .rate_per_s_ = parse_decimal(option_value(line, "rate", "1")),
        .from_ = parse_duration(option_value(line, "from", "0s")),
        .to_ = parse_duration(option_value(line, "to", "1s")),
        .timeout_ = parse_duration(option_value(line, "timeout", "2s")),
        .entries_ = split_list(option_value(line, "at", "")),
        .resend_ =
            parse_choice(option_value(line, "resend", "none"), resend_choices),
        .max_resends_ = parse_count(option_value(line, "times", "1")),
        .resend_delay_ = parse_duration(option_value(line, "after", "100ms")),
        .body_ = option_value(line, "body", "")};
}

route_policy parse_route(scenario_line const& line, std::string const& route)
{
    constexpr std::array<std::pair<std::string_view, importance>, 4>
        importance_choices{
            std::pair{std::string_view("background"), importance::background},
            std::pair{std::string_view("normal"), importance::normal},
            std::pair{std::string_view("high"), importance::high},
            std::pair{std::string_view("critical"), importance::critical}};
    constexpr std::array<std::pair<std::string_view, bool>, 2> yes_no_choices{
        std::pair{std::string_view("yes"), true},
        std::pair{std::string_view("no"), false}};
    bool const is_long =
        parse_choice(option_value(line, "long", "no"), yes_no_choices);
    return {
        .route_ = route_name(route),
        .importance_ = parse_choice(
            option_value(line, "importance", "normal"), importance_choices),
        .unrepeatable_ = parse_choice(
            option_value(line, "unrepeatable", "yes"), yes_no_choices),
        .work_class_ = is_long ? work_class::long_work : work_class::short_work,
        .timeout_ = parse_duration(option_value(line, "timeout", "10s"))};
}

fault_setup parse_fault(scenario_line const& line)
{
    // "2s~1s" means 2 s plus a random delay of up to 1 s.
    std::string const& time = required_word(line, 1);
    auto const tilde_position = time.find('~');
    return {
        .time_ = parse_duration(time.substr(0, tilde_position)),
        .max_random_delay_ =
            tilde_position == std::string::npos
                ? absl::ZeroDuration()
                : parse_duration(time.substr(tilde_position + 1)),
        .verb_ = required_word(line, 2),
        .target_ = line.words_.size() > 3 ? line.words_[3] : "",
        .options_ = line.options_};
}

/// Builds a scenario_plan from the parsed lines of a scenario file.
class plan_builder
{
public:
    void add(scenario_line const& line)
    {
        std::string const& verb = line.words_.front();
        if (verb == "scenario")
            name_ = required_word(line, 1);
        else if (verb == "holds")
            guarantee_ = required_word(line, 1);
        else if (verb == "mode")
            mode_ = required_word(line, 1);
        else if (verb == "runs")
            runs_ = parse_count(required_word(line, 1));
        else if (verb == "settle")
            settle_duration_ = parse_duration(required_word(line, 1));
        else if (verb == "duration")
            duration_ = parse_duration(required_word(line, 1));
        else if (verb == "network")
            set_network(line);
        else if (verb == "retries")
            extra_attempts_ = parse_count(option_value(line, "extra", "3"));
        else if (verb == "route")
            add_route(line);
        else if (verb == "node")
            nodes_.push_back(parse_node(line));
        else if (verb == "load")
            loads_.push_back(parse_load(line));
        else if (verb == "at")
            faults_.push_back(parse_fault(line));
        else if (verb == "expect")
            expectations_.push_back(
                {required_word(line, 1),
                 required_word(line, 2),
                 parse_decimal(required_word(line, 3))});
        else
            throw rule_violation("'" + verb + "' is not a known word");
    }

    scenario_plan build_plan() const
    {
        std::vector<service_policy> services;
        for (auto const& [service, routes] : routes_)
            services.push_back({service_name(service), routes});
        return {
            .name_ = name_,
            .guarantee_ = guarantee_,
            .mode_ = mode_,
            .runs_ = runs_,
            .settle_duration_ = settle_duration_,
            .duration_ = duration_,
            .datagram_loss_percent_ = loss_percent_,
            .datagram_repeat_percent_ = repeat_percent_,
            .policy_ =
                {.revision_ = revision(1),
                 .retries_ = {.extra_attempts_ = extra_attempts_},
                 .services_ = std::move(services)},
            .nodes_ = nodes_,
            .loads_ = loads_,
            .faults_ = faults_,
            .expectations_ = expectations_};
    }

private:
    void set_network(scenario_line const& line)
    {
        loss_percent_ = parse_count(option_value(line, "loss", "0"));
        repeat_percent_ = parse_count(option_value(line, "repeat", "0"));
    }

    void add_route(scenario_line const& line)
    {
        auto const [service, route] =
            split_service_and_route(required_word(line, 1));
        routes_[service].push_back(parse_route(line, route));
    }

    std::string name_;
    std::string guarantee_;
    std::string mode_{"virtual"};
    unsigned runs_{20};
    absl::Duration settle_duration_{absl::Seconds(15)};
    absl::Duration duration_{absl::Seconds(20)};
    unsigned loss_percent_{};
    unsigned repeat_percent_{};
    unsigned extra_attempts_{3};
    std::map<std::string, std::vector<route_policy>> routes_;
    std::vector<node_setup> nodes_;
    std::vector<load_setup> loads_;
    std::vector<fault_setup> faults_;
    std::vector<expectation> expectations_;
};

} // namespace

scenario_result parse_scenario(std::string_view text)
{
    plan_builder builder;
    std::vector<scenario_error> errors;
    std::size_t line_number = 0;
    for (std::string_view const raw_line : split(text, '\n'))
    {
        ++line_number;
        scenario_line const line = split_line(
            line_number, trim(raw_line.substr(0, raw_line.find('#'))));
        if (line.words_.empty())
            continue;
        try
        {
            builder.add(line);
        }
        catch (rule_violation const& violation)
        {
            errors.push_back({line_number, violation.what()});
        }
    }
    scenario_plan plan = builder.build_plan();
    if (plan.name_.empty())
        errors.push_back({line_number, "the file must name its scenario"});
    if (plan.expectations_.empty())
        errors.push_back(
            {line_number, "the file must have at least one 'expect' line"});
    if (!errors.empty())
        return errors;
    return plan;
}

} // namespace samphire::scenario
