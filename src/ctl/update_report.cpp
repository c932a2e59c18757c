#include "ctl/update_report.hpp"

#include "policy/policy_codec.hpp"
#include "policy/policy_difference.hpp"

#include <fmt/format.h>

namespace samphire
{

command_result report_update(
    policy_document const& document,
    stored_policy const& base,
    policy_update const& update)
{
    switch (update.status_)
    {
    case update_status::applied:
        return {
            .output_ =
                format_difference(policy_difference(base.document_, document)) +
                fmt::format(
                    "applied revision {} as object version {}\n",
                    document.revision_.value(),
                    update.current_policy_.version_.value())};
    case update_status::not_higher:
        return {
            .code_ = exit_code::refused,
            .errors_ = fmt::format(
                "revision: must be higher than {}, the revision in the "
                "platform (found {})\n",
                base.document_.revision_.value(),
                document.revision_.value())};
    case update_status::conflict:
        return {
            .code_ = exit_code::conflict,
            .errors_ = fmt::format(
                "conflict: another operator changed the document meanwhile; "
                "yours is not in the platform\n"
                "--- document in the platform, object version {}\n{}"
                "--- your document\n{}"
                "--- changes from the platform's document to yours\n{}",
                update.current_policy_.version_.value(),
                update.current_policy_.text_,
                format_policy(document),
                format_difference(policy_difference(
                    update.current_policy_.document_, document)))};
    case update_status::unavailable:
        return {
            .code_ = exit_code::refused,
            .errors_ = "platform: refused the update; nothing was changed\n"};
    case update_status::unknown:
        break;
    }
    return {
        .code_ = exit_code::unknown,
        .errors_ = "platform: responses were lost, so the document may be "
                   "stored or not; run the same apply again\n"};
}

} // namespace samphire
