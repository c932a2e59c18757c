#include "ctl/ctl_settings.hpp"
#include "ctl/run_command.hpp"
#include "settings/settings_parser.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace samphire;

namespace
{

struct invalid_command
{
    std::vector<char const*> arguments_;
    char const* expected_message_part_;
};

char const* no_variable(char const*)
{
    return nullptr;
}

} // namespace

TEST_GROUP(run_command)
{
    settings_parser const parser{"samphirectl", "", ctl_setting_definitions()};

    command_result run(std::vector<char const*> arguments)
    {
        arguments.insert(arguments.begin(), "samphirectl");
        command_line const line = split_command_line(
            static_cast<int>(arguments.size()), arguments.data());
        parsed_settings const parsed = parser.parse(
            static_cast<int>(line.program_and_flags_.size()),
            line.program_and_flags_.data(),
            &no_variable);
        return run_command(line, std::get<setting_values>(parsed));
    }
};

// Guards against a mistyped command that does something else.
TEST(run_command, invalid_command_is_refused_with_field_and_rule)
{
    std::array const rows{
        invalid_command{{}, "command: must be"},
        invalid_command{{"delete"}, "command: must be"},
        invalid_command{{"validate"}, "FILE: is required"},
        invalid_command{
            {"validate", "/nonexistent/x"}, "FILE: must be a readable"},
        invalid_command{{"validate", "/tmp"}, "FILE: must be a readable"},
        invalid_command{
            {"apply", "/dev/null"}, "--platform-address: is required"},
        invalid_command{{"status"}, "--daemons: is required"},
        invalid_command{{"status", "x"}, "status: takes no operand"},
        invalid_command{
            {"status", "x", "y"}, "status: takes one operand at most"},
        invalid_command{{"explain"}, "ATTEMPT-ID: is required"},
        invalid_command{{"explain", "a1"}, "LOG-FILE: at least one"},
        invalid_command{
            {"explain", "a1", "/tmp"}, "LOG-FILE: must be a readable"},
        invalid_command{{"drain"}, "DAEMON-HTTP-ADDRESS: must be"},
        invalid_command{
            {"drain", "localhost:80"}, "DAEMON-HTTP-ADDRESS: must be"},
    };
    for (invalid_command const& row : rows)
    {
        command_result const result = run(row.arguments_);
        CHECK(result.code_ == exit_code::usage);
        STRCMP_CONTAINS(row.expected_message_part_, result.errors_.c_str());
    }
}

// Guards against flags that are read as operands.
TEST(run_command, flags_after_operand_are_left_to_the_settings)
{
    std::array<char const*, 5> const arguments{
        "samphirectl", "drain", "127.0.0.1:1", "--daemons", "127.0.0.1:2"};
    command_line const line = split_command_line(5, arguments.data());
    STRCMP_EQUAL("127.0.0.1:1", line.operand_.c_str());
    LONGS_EQUAL(3, line.program_and_flags_.size());
}
