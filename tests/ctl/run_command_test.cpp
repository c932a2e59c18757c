#include "ctl/ctl_settings.hpp"
#include "ctl/run_command.hpp"
#include "settings/settings_parser.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace samphire;

namespace
{

struct bad_command
{
    std::vector<char const*> words_;
    char const* message_part_;
};

char const* no_variable(char const*)
{
    return nullptr;
}

} // namespace

TEST_GROUP(run_command)
{
    settings_parser const parser{"samphirectl", "", ctl_setting_definitions()};

    command_result run(std::vector<char const*> words)
    {
        words.insert(words.begin(), "samphirectl");
        command_line const line =
            split_command_line(static_cast<int>(words.size()), words.data());
        parsed_settings const parsed = parser.parse(
            static_cast<int>(line.flags_.size()),
            line.flags_.data(),
            &no_variable);
        return run_command(line, std::get<setting_values>(parsed));
    }
};

// Guards against a mistyped command that does something else.
TEST(run_command, bad_command_is_refused_with_field_and_rule)
{
    std::array const rows{
        bad_command{{}, "command: must be"},
        bad_command{{"delete"}, "command: must be"},
        bad_command{{"validate"}, "FILE: is required"},
        bad_command{{"validate", "/nonexistent/x"}, "FILE: must be a readable"},
        bad_command{{"validate", "/tmp"}, "FILE: must be a readable"},
        bad_command{{"apply", "/dev/null"}, "--platform-address: is required"},
        bad_command{{"status"}, "--daemons: is required"},
        bad_command{{"status", "x"}, "status: takes no operand"},
        bad_command{{"status", "x", "y"}, "status: takes one operand at most"},
        bad_command{{"explain"}, "ATTEMPT-ID: is required"},
        bad_command{{"explain", "a1"}, "LOG-FILE: at least one"},
        bad_command{{"explain", "a1", "/tmp"}, "LOG-FILE: must be a readable"},
        bad_command{{"drain"}, "DAEMON-HTTP-ADDRESS: must be"},
        bad_command{{"drain", "localhost:80"}, "DAEMON-HTTP-ADDRESS: must be"},
    };
    for (bad_command const& row : rows)
    {
        command_result const result = run(row.words_);
        CHECK(result.code_ == exit_code::usage);
        STRCMP_CONTAINS(row.message_part_, result.errors_.c_str());
    }
}

// Guards against flags taken for an operand.
TEST(run_command, flags_after_operand_are_left_to_the_settings)
{
    std::array<char const*, 5> const words{
        "samphirectl", "drain", "127.0.0.1:1", "--daemons", "127.0.0.1:2"};
    command_line const line = split_command_line(5, words.data());
    STRCMP_EQUAL("127.0.0.1:1", line.operand_.c_str());
    LONGS_EQUAL(3, line.flags_.size());
}
