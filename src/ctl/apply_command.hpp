#pragma once

#include "ctl/error_text.hpp"
#include "ctl/update_report.hpp"
#include "operations/policy_store.hpp"
#include "policy/policy_codec.hpp"

#include <string>
#include <string_view>

namespace samphire
{

/// Validates a policy document and replaces the one in the platform by it.
template <platform_caller Platform>
command_result
apply_document(std::string_view text, policy_store<Platform>& store)
{
    policy_parse_result const parsed = parse_policy(text);
    if (!parsed)
        return {
            .code_ = exit_code::refused,
            .errors_ = format_policy_errors(parsed.error())};
    policy_read_result const base = store.read();
    if (!base)
        return {
            .code_ = exit_code::refused,
            .errors_ =
                "platform: " + std::string(store_error_text(base.error())) +
                "; nothing was changed\n"};
    // An earlier run whose responses were lost may have stored this document.
    if (base.value().text_ == format_policy(parsed.value()))
        return {.output_ = "this document is already in the platform\n"};
    return report_update(
        parsed.value(),
        base.value(),
        store.apply(parsed.value(), base.value()));
}

} // namespace samphire
