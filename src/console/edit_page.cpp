#include "console/edit_page.hpp"

#include "console/html_text.hpp"
#include "console/page_layout.hpp"
#include "policy/policy_limits.hpp"
#include "policy/policy_names.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <span>
#include <string>

namespace samphire
{

namespace
{

constexpr int new_route_rows = 2;

std::string error_list(std::vector<policy_error> const& errors)
{
    if (errors.empty())
        return "";
    std::string text = "<section class=\"notice\" role=\"alert\">"
                       "<h2>The document was refused</h2><ul>\n";
    for (policy_error const& error : errors)
        text += fmt::format(
            "<li><code>{}</code> {}{}</li>\n",
            escape_html(error.field_),
            escape_html(error.rule_),
            error.value_.empty()
                ? ""
                : fmt::format(" (found {})", escape_html(error.value_)));
    return text + "</ul></section>\n";
}

std::string labelled_control(
    std::string_view name, std::string_view label, std::string_view control)
{
    return fmt::format(
        "<div><label for=\"{}\">{}</label>{}</div>\n", name, label, control);
}

std::string text_field(
    std::string_view name, std::string_view label, std::string_view value)
{
    return labelled_control(
        name,
        label,
        fmt::format(
            "<input id=\"{0}\" name=\"{0}\" value=\"{1}\" size=\"24\">",
            name,
            escape_html(value)));
}

std::string number_field(
    std::string_view name,
    std::string_view label,
    std::string_view value,
    std::uint64_t minimum,
    std::uint64_t maximum)
{
    return labelled_control(
        name,
        label,
        fmt::format(
            "<input id=\"{0}\" name=\"{0}\" value=\"{1}\" type=\"number\" "
            "min=\"{2}\" max=\"{3}\">",
            name,
            escape_html(value),
            minimum,
            maximum));
}

struct choice
{
    std::string_view const value_{};
    std::string_view const label_{};
};

std::string choice_field(
    std::string_view name,
    std::string_view label,
    std::string_view value,
    std::span<choice const> choices)
{
    // When the value is not among the choices, "choose" is added and selected:
    // a browser would otherwise preselect the first choice and submit that
    // choice without a decision of the operator.
    bool const is_listed = std::any_of(
        choices.begin(),
        choices.end(),
        [&](choice const& option) { return option.value_ == value; });
    std::string options =
        is_listed ? "" : "<option value=\"\" selected>choose</option>";
    for (choice const& option : choices)
        options += fmt::format(
            "<option value=\"{}\"{}>{}</option>",
            option.value_,
            option.value_ == value ? " selected" : "",
            option.label_);
    return labelled_control(
        name,
        label,
        fmt::format(
            "<select id=\"{0}\" name=\"{0}\">{1}</select>", name, options));
}

std::string route_fields(std::string const& prefix, route_form const& route)
{
    constexpr std::array importance_choices{
        choice{"background", "background (shed first)"},
        choice{"normal", "normal"},
        choice{"high", "high"},
        choice{"critical", "critical (shed last)"}};
    constexpr std::array retry_choices{
        choice{"true", "never (unrepeatable)"},
        choice{"false", "may be repeated"}};
    constexpr std::array work_class_choices{
        choice{"short", "short"}, choice{"long", "long"}};
    return choice_field(
               prefix + "importance",
               "Importance",
               route.importance_,
               importance_choices) +
           choice_field(
               prefix + "unrepeatable",
               "Repeat",
               route.unrepeatable_,
               retry_choices) +
           choice_field(
               prefix + "work", "Work class", route.work_, work_class_choices) +
           number_field(
               prefix + "timeout_ms",
               "Timeout (ms)",
               route.timeout_ms_,
               1,
               policy_limits::max_timeout_ms) +
           text_field(
               prefix + "calls",
               "Calls (service/route, separated by spaces)",
               route.calls_);
}

std::string existing_route_fieldset(std::size_t index, route_form const& route)
{
    std::string const prefix = fmt::format("route.{}.", index);
    return fmt::format(
        "<fieldset><legend>{} / {}</legend><div class=\"fields\">\n{}{}{}"
        "<div><input type=\"checkbox\" id=\"{}remove\" name=\"{}remove\"{}>"
        "<label for=\"{}remove\" style=\"display:inline\"> Remove this route"
        "</label></div></div></fieldset>\n",
        escape_html(route.service_),
        escape_html(route.route_),
        hidden_field(prefix + "service", route.service_),
        hidden_field(prefix + "route", route.route_),
        route_fields(prefix, route),
        prefix,
        prefix,
        route.remove_ ? " checked" : "",
        prefix);
}

std::string new_route_fieldset(std::size_t index, int number)
{
    std::string const prefix = fmt::format("route.{}.", index);
    route_form const defaults{
        .importance_ = "normal",
        .unrepeatable_ = "true",
        .work_ = "short",
        .timeout_ms_ = "10000"};
    return fmt::format(
        "<fieldset><legend>New route {} (leave empty for none)</legend>"
        "<div class=\"fields\">\n{}{}{}</div></fieldset>\n",
        number,
        text_field(prefix + "service", "Service", ""),
        text_field(prefix + "route", "Route", ""),
        route_fields(prefix, defaults));
}

std::string retry_fields(policy_form const& form)
{
    return "<fieldset><legend>Retry limits</legend><div class=\"fields\">\n" +
           number_field(
               "extra_attempts",
               "Extra attempts for one caller's request, whole call chain",
               form.extra_attempts_,
               0,
               policy_limits::max_extra_attempts) +
           number_field(
               "service_percent",
               "Retries to one service, % of first attempts",
               form.service_percent_,
               0,
               policy_limits::max_service_percent) +
           "</div></fieldset>\n";
}

std::string leaving_fields(policy_form const& form)
{
    return "<fieldset><legend>Leaving upstreams</legend>\n" +
           labelled_control(
               "leaving",
               "Daemons whose upstreams get no new work, one on each line",
               fmt::format(
                   "<br><textarea id=\"leaving\" name=\"leaving\" rows=\"4\" "
                   "cols=\"40\">\n{}</textarea>",
                   escape_html(form.leaving_))) +
           "</fieldset>\n";
}

} // namespace

http_response edit_page(
    policy_form const& form,
    std::string_view token,
    std::vector<policy_error> const& errors)
{
    std::string content = error_list(errors);
    content += fmt::format(
        "<p>This form writes revision {}. Nothing changes before you have "
        "seen the difference and applied it.</p>\n"
        "<form method=\"post\" action=\"/review\" "
        "accept-charset=\"utf-8\">\n",
        escape_html(form.revision_));
    content += hidden_field("token", token);
    content += hidden_field(
        "base_version", fmt::format("{}", form.base_version_.value()));
    content += hidden_field("revision", form.revision_);
    content += retry_fields(form);
    content += leaving_fields(form);
    content += "<h2>Routes</h2>\n<p>A route that is not listed is never "
               "repeated and of normal importance.</p>\n";
    std::size_t index = 0;
    for (std::string const& service : form.services_)
        content += hidden_field("listed_service", service);
    for (route_form const& route : form.routes_)
        content += existing_route_fieldset(index++, route);
    content += "<h2>New routes</h2>\n";
    for (int number = 1; number <= new_route_rows; ++number)
        content += new_route_fieldset(index++, number);
    // The field "complete" is the last one of the form; a request without this
    // field was truncated.
    content += hidden_field("complete", "yes");
    content += "<button type=\"submit\">Review changes</button></form>\n";
    return html_page(errors.empty() ? 200 : 400, "Policy document", content);
}

} // namespace samphire
