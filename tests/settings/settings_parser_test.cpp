#include "console/console_settings.hpp"
#include "ctl/ctl_settings.hpp"
#include "daemon/daemon_settings.hpp"
#include "load/load_settings.hpp"
#include "relay/relay_settings.hpp"
#include "settings/settings_parser.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <fstream>
#include <iterator>

using namespace samphire;

namespace
{

struct invalid_flags
{
    std::vector<char const*> arguments_;
    char const* expected_name_part_;
    char const* expected_rule_part_;
};

char const* no_variable(char const*)
{
    return nullptr;
}

char const* span_variable(char const* name)
{
    return std::string_view(name) == "SAMPHIRE_SPAN_CAPACITY" ? "77" : nullptr;
}

} // namespace

TEST_GROUP(settings_parser)
{
    settings_parser const parser{
        "samphire-daemon",
        "overload control for the upstream on this VM",
        daemon_setting_definitions()};
    std::vector<char const*> const required{
        "samphire-daemon",
        "--daemon-id=a",
        "--domain=d",
        "--peer-address=127.0.0.1:1",
        "--http-address=127.0.0.1:2",
        "--peer-secret=s"};

    parsed_settings parse(
        std::vector<char const*> const& extra_arguments,
        char const* (*variable)(char const*) = &no_variable)
    {
        std::vector<char const*> arguments = required;
        arguments.insert(
            arguments.end(), extra_arguments.begin(), extra_arguments.end());
        return parser.parse(
            static_cast<int>(arguments.size()), arguments.data(), variable);
    }
};

// Guards against a program that runs with a mistyped setting.
TEST(settings_parser, invalid_flag_is_refused_with_name_and_rule)
{
    char const* const address = "must be a.b.c.d:port";
    std::array const rows{
        invalid_flags{{"--unknown=1"}, "command line", "unknown"},
        invalid_flags{{"stray"}, "stray", "not a known argument"},
        invalid_flags{{"--seeds"}, "command line", "seeds"},
        invalid_flags{{"--daemon-id="}, "--daemon-id", "is required"},
        invalid_flags{{"--domain="}, "--domain", "is required"},
        invalid_flags{{"--peer-secret="}, "--peer-secret", "is required"},
        invalid_flags{{"--peer-address="}, "--peer-address", "is required"},
        invalid_flags{
            {"--peer-address=localhost:1"}, "--peer-address", address},
        invalid_flags{{"--peer-address=1.2.3:4"}, "--peer-address", address},
        invalid_flags{
            {"--peer-address=1.2.3.256:4"}, "--peer-address", address},
        invalid_flags{{"--http-address=1.2.3.4:0"}, "--http-address", address},
        invalid_flags{
            {"--http-address=1.2.3.4:65536"}, "--http-address", address},
        invalid_flags{{"--http-address=1.2.3.4"}, "--http-address", address},
        invalid_flags{{"--platform-address=x"}, "--platform-address", address},
        invalid_flags{{"--seeds=1.2.3.4:5,"}, "--seeds", "must be a list"},
        invalid_flags{{"--seeds=1.2.3.4:5;1.2.3.4:6"}, "--seeds", "a list"},
        invalid_flags{
            {"--call-capacity=0"}, "--call-capacity", "from 1 to 65536"},
        invalid_flags{{"--call-capacity=65537"}, "--call-capacity", "to 65536"},
        invalid_flags{
            {"--call-capacity=4k"}, "--call-capacity", "whole number"},
        invalid_flags{
            {"--queue-capacity="}, "--queue-capacity", "whole number"},
        invalid_flags{{"--queue-capacity=1.5"}, "--queue-capacity", "whole"},
        invalid_flags{
            {"--record-capacity=-1"}, "--record-capacity", "from 1024"},
        invalid_flags{{"--epoch-ms=999"}, "--epoch-ms", "3600000 milliseconds"},
        invalid_flags{
            {"--span-capacity=99999999999999999999"},
            "--span-capacity",
            "whole number"},
        invalid_flags{{"--log-level=4"}, "--log-level", "from 0 to 3"},
    };
    for (invalid_flags const& row : rows)
    {
        parsed_settings const parsed = parse(row.arguments_);
        auto const* const errors =
            std::get_if<std::vector<setting_error>>(&parsed);
        CHECK_TEXT(errors, row.arguments_.front());
        STRCMP_CONTAINS(row.expected_name_part_, errors->front().name_.c_str());
        STRCMP_CONTAINS(row.expected_rule_part_, errors->front().rule_.c_str());
    }
}

// Guards against errors that an operator can only correct one at a time.
TEST(settings_parser, several_invalid_flags_are_reported_at_once)
{
    parsed_settings const parsed =
        parse({"--epoch-ms=0", "--log-level=9", "--seeds=x"});
    LONGS_EQUAL(3, std::get<std::vector<setting_error>>(parsed).size());
}

// Guards against a ratio outside its range, or nan, that reaches the program.
TEST(settings_parser, decimal_outside_its_range_or_form_is_refused)
{
    setting_definition const definition{
        .name_ = "share",
        .kind_ = setting_kind::decimal,
        .default_ = "0.5",
        .minimum_ = 0,
        .maximum_ = 1};
    for (char const* valid : {"0", "0.25", "1", "1e-3"})
        STRCMP_EQUAL("", broken_rule(definition, valid).c_str());
    for (char const* invalid : {"", "1.01", "-0.1", "x", "0.5x", "nan"})
        STRCMP_EQUAL(
            "must be a number from 0 to 1",
            broken_rule(definition, invalid).c_str());
}

// Guards against a variable that overrides an explicit flag, or is ignored.
TEST(settings_parser, flag_overrides_variable_and_variable_overrides_default)
{
    LONGS_EQUAL(
        77,
        std::get<setting_values>(parse({}, &span_variable))
            .integer("span-capacity"));
    LONGS_EQUAL(
        5,
        std::get<setting_values>(parse({"--span-capacity=5"}, &span_variable))
            .integer("span-capacity"));
}

// Guards against a settings page that no longer lists what the programs accept.
// Runs from the root of the repository, as scripts/run-tests.sh does.
TEST(settings_parser, settings_page_agrees_with_programs)
{
    std::ifstream file("docs/operators/settings.md");
    std::string const page(
        (std::istreambuf_iterator<char>(file)),
        std::istreambuf_iterator<char>());
    for (auto const& [program, definitions] :
         {std::pair("samphire-daemon", daemon_setting_definitions()),
          std::pair("samphire-relay", relay_setting_definitions()),
          std::pair("samphirectl", ctl_setting_definitions()),
          std::pair("samphire-console", console_setting_definitions()),
          std::pair("samphire-load", load_setting_definitions())})
    {
        std::string const reference =
            settings_parser(program, "", definitions).reference();
        std::string const table = reference.substr(reference.find("| flag"));
        CHECK_TEXT(
            page.find(table) != std::string::npos,
            "run scripts/update-settings-page.sh");
    }
    std::array<char const*, 2> const arguments{
        "samphire-daemon", "--settings-reference"};
    parsed_settings const parsed =
        parser.parse(2, arguments.data(), &no_variable);
    std::string const printed = std::get<settings_notice>(parsed).text_;
    CHECK(page.find(printed) != std::string::npos);
}

// Guards against a program that ends because its argument parser exhausts the
// stack.
TEST(settings_parser, very_long_flag_is_refused)
{
    std::string const flag = "--daemon-id=" + std::string(100'000, 'n');
    auto const result = parse({flag.c_str()});
    auto const* const errors = std::get_if<std::vector<setting_error>>(&result);
    CHECK(errors != nullptr);
    STRCMP_EQUAL("--daemon-id", errors->front().name_.c_str());
}

// Guards against a long list, such as of seeds, that cannot be set at all.
TEST(settings_parser, very_long_variable_is_accepted)
{
    auto const result = parse(
        {},
        [](char const* name) -> char const*
        {
            static std::string const list = []
            {
                std::string text = "127.0.0.1:1";
                for (int i = 0; i < 5000; ++i)
                    text += ",127.0.0.1:" + std::to_string(i + 1);
                return text;
            }();
            return std::string_view(name) == "SAMPHIRE_SEEDS" ? list.c_str()
                                                              : nullptr;
        });
    auto const* const values = std::get_if<setting_values>(&result);
    CHECK(values != nullptr);
    LONGS_EQUAL(5001, values->address_list("seeds").size());
}
