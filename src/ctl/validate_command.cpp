#include "ctl/validate_command.hpp"

#include "ctl/error_text.hpp"
#include "policy/policy_codec.hpp"

namespace samphire
{

command_result validate_document(std::string_view text)
{
    policy_parse_result const parsed = parse_policy(text);
    if (!parsed)
        return {
            .code_ = exit_code::refused,
            .errors_ = format_policy_errors(parsed.error())};
    return {.output_ = format_policy(parsed.value())};
}

} // namespace samphire
