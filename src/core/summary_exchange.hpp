#pragma once

#include "core/conditional_writer.hpp"
#include "core/core_context.hpp"
#include "core/events/platform_replied.hpp"
#include "core/object_watch.hpp"
#include "core/watched_summary.hpp"
#include "membership/membership.hpp"
#include "membership/summary_error.hpp"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace samphire
{

/// Members of other failure domains through the platform. Two publishers of a
/// domain write its members to one object, two watchers read the objects of
/// the others. Every holder of a duty joins records by supersedes() before it
/// writes or passes them on, so a doubled or lapsed duty loses nothing.
class summary_exchange
{
public:
    static constexpr std::string_view publish_duty = "summary";
    /// The platform's limit on a value. A summary of 8,192 members with ids
    /// of 20 characters stays below it.
    static constexpr std::size_t size_limit = 1'048'576;

    summary_exchange(
        core_context& context,
        membership& members,
        platform_operations& operations);

    void on(platform_replied const& reply, absl::Time now);
    void tick(absl::Time now);
    absl::Time next_deadline() const;
    /// Reads the own domain's summary again after a pause.
    void resume();

private:
    std::optional<payload> desired_summary(payload const& held, absl::Time now);
    std::optional<payload> desired_domains(payload const& held);
    void merge_own(payload const& value, absl::Time now);
    void merge_watched(
        domain_name const& domain,
        watched_summary& watched,
        platform_result const& result,
        absl::Time now);
    void learn_domains(payload const& value);
    void watch_domain(domain_name const& domain);
    void report_refused(object_name const& object, summary_error error);

    core_context& context_;
    membership& members_;
    platform_operations& operations_;
    /// Names members to join when no seed answers.
    object_watch first_read_;
    conditional_writer summary_;
    conditional_writer domains_;
    object_watch domains_watch_;
    std::map<domain_name, watched_summary> watched_;
    /// Content of the own summary object that was merged last, and its digest.
    payload merged_content_;
    std::uint64_t merged_digest_{};
    bool publishes_{};
    bool watches_{};
    absl::Time next_check_{absl::InfinitePast()};
};

} // namespace samphire
