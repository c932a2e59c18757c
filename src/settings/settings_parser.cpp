#include "settings/settings_parser.hpp"

#include "base/text.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/str_replace.h>
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstddef>
#include <exception>
#include <utility>

namespace samphire
{

namespace
{

// cxxopts matches arguments with std::regex, which exhausts the stack on long
// ones.
constexpr std::size_t max_argument_bytes = 8192;

std::string number_rule(setting_definition const& definition)
{
    std::string_view const unit =
        definition.kind_ == setting_kind::duration ? " milliseconds" : "";
    return fmt::format(
        "a whole number from {} to {}{}",
        definition.minimum_,
        definition.maximum_,
        unit);
}

bool is_number_in_range(
    setting_definition const& definition, std::string_view value)
{
    auto const number = parse_number<std::int64_t>(value);
    return number && *number >= definition.minimum_ &&
           *number <= definition.maximum_;
}

bool is_decimal_in_range(
    setting_definition const& definition, std::string_view value)
{
    auto const number = parse_number<double>(value);
    return number && *number >= static_cast<double>(definition.minimum_) &&
           *number <= static_cast<double>(definition.maximum_);
}

bool is_address_list(std::string_view value)
{
    if (value.empty())
        return true;
    for (std::string_view const part : split(value, ','))
    {
        if (!endpoint::parse(part))
            return false;
    }
    return true;
}

std::string_view kind_text(setting_kind kind)
{
    switch (kind)
    {
    case setting_kind::text:
        return "text";
    case setting_kind::integer:
        return "integer";
    case setting_kind::decimal:
        return "number";
    case setting_kind::duration:
        return "ms";
    case setting_kind::address:
        return "a.b.c.d:port";
    case setting_kind::address_list:
        return "a.b.c.d:port,...";
    case setting_kind::toggle:
        return "true|false";
    }
    return "";
}

std::string_view default_text(setting_definition const& definition)
{
    bool const must_be_set =
        definition.required_ && definition.default_.empty();
    return must_be_set ? "required" : definition.default_;
}

} // namespace

std::string variable_name(std::string_view setting)
{
    return "SAMPHIRE_" + absl::AsciiStrToUpper(absl::StrReplaceAll(
                             std::string(setting), {{"-", "_"}}));
}

std::string
broken_rule(setting_definition const& definition, std::string_view value)
{
    if (definition.required_ && value.empty())
        return "is required";
    switch (definition.kind_)
    {
    case setting_kind::text:
        return "";
    case setting_kind::integer:
    case setting_kind::duration:
        return is_number_in_range(definition, value)
                   ? ""
                   : "must be " + number_rule(definition);
    case setting_kind::decimal:
        return is_decimal_in_range(definition, value)
                   ? ""
                   : fmt::format(
                         "must be a number from {} to {}",
                         definition.minimum_,
                         definition.maximum_);
    case setting_kind::address:
        return value.empty() || endpoint::parse(value)
                   ? ""
                   : "must be a.b.c.d:port with a port from 1 to 65535";
    case setting_kind::address_list:
        return is_address_list(value)
                   ? ""
                   : "must be a list of a.b.c.d:port separated by commas";
    case setting_kind::toggle:
        return value == "true" || value == "false" ? ""
                                                   : "must be true or false";
    }
    return "";
}

settings_parser::settings_parser(
    std::string program,
    std::string summary,
    std::span<setting_definition const> definitions)
    : program_(std::move(program)), summary_(std::move(summary)),
      definitions_(definitions)
{
}

parsed_settings settings_parser::parse(
    int argc,
    char const* const* argv,
    char const* (*variable)(char const* name)) const
{
    for (std::string_view const argument :
         std::span(argv, static_cast<std::size_t>(argc)))
    {
        if (argument.size() > max_argument_bytes)
            return std::vector<setting_error>{
                {std::string(argument.substr(0, argument.find('='))),
                 "",
                 fmt::format(
                     "must have at most {} bytes; use the variable instead",
                     max_argument_bytes)}};
    }
    cxxopts::Options options(program_, summary_);
    options.add_options()("help", "")("version", "")("settings-reference", "");
    for (setting_definition const& definition : definitions_)
        options.add_options()(
            std::string(definition.name_), "", cxxopts::value<std::string>());
    absl::flat_hash_map<std::string, std::string> texts;
    try
    {
        cxxopts::ParseResult const flags = options.parse(argc, argv);
        if (flags.count("help") > 0)
            return settings_notice{help()};
        if (flags.count("version") > 0)
            return settings_notice{program_ + " " SAMPHIRE_VERSION "\n"};
        if (flags.count("settings-reference") > 0)
            return settings_notice{reference()};
        if (!flags.unmatched().empty())
            return std::vector<setting_error>{
                {flags.unmatched().front(), "", "is not a known argument"}};
        for (setting_definition const& definition : definitions_)
        {
            std::string const name(definition.name_);
            char const* const environment_value =
                variable(variable_name(name).c_str());
            std::string value(
                environment_value ? std::string_view(environment_value)
                                  : definition.default_);
            if (flags.count(name) > 0)
                value = flags[name].as<std::string>();
            texts.emplace(name, std::move(value));
        }
    }
    catch (std::exception const& failure)
    {
        return std::vector<setting_error>{{"command line", "", failure.what()}};
    }
    std::vector<setting_error> errors;
    for (setting_definition const& definition : definitions_)
    {
        std::string const name(definition.name_);
        std::string rule = broken_rule(definition, texts.at(name));
        if (!rule.empty())
            errors.push_back({"--" + name, texts.at(name), std::move(rule)});
    }
    if (!errors.empty())
        return errors;
    return setting_values(std::move(texts));
}

std::string settings_parser::help() const
{
    std::string text = fmt::format("{}: {}\n\n", program_, summary_);
    for (setting_definition const& definition : definitions_)
        text += fmt::format(
            "  --{:<26} {} [{}{}]\n",
            fmt::format("{} {}", definition.name_, kind_text(definition.kind_)),
            definition.help_,
            default_text(definition) == "required" ? "" : "default ",
            default_text(definition));
    text += "  --help                       print this text\n"
            "  --version                    print the version\n"
            "  --settings-reference         print the settings as Markdown\n"
            "\nEach flag can also be set by an environment variable, such as " +
            (definitions_.empty() ? std::string("SAMPHIRE_NAME")
                                  : variable_name(definitions_.front().name_)) +
            ".\n";
    return text;
}

std::string settings_parser::reference() const
{
    std::string text = fmt::format("## {}\n\n{}\n\n", program_, summary_);
    text +=
        fmt::format("| flag | variable | kind | default | bounds | meaning |\n"
                    "|---|---|---|---|---|---|\n");
    for (setting_definition const& definition : definitions_)
    {
        bool const bounded = definition.kind_ == setting_kind::integer ||
                             definition.kind_ == setting_kind::decimal ||
                             definition.kind_ == setting_kind::duration;
        std::string const bounds =
            bounded ? fmt::format(
                          "{} to {}", definition.minimum_, definition.maximum_)
                    : "";
        text += fmt::format(
            "| `--{}` | `{}` | {} | {} | {} | {} |\n",
            definition.name_,
            variable_name(definition.name_),
            kind_text(definition.kind_),
            default_text(definition),
            bounds,
            definition.help_);
    }
    return text;
}

} // namespace samphire
