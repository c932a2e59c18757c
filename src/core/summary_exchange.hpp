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

/// Exchanges member summaries with other failure domains through the platform.
/// Two publishers of each domain write its members to one object, and two
/// watchers read the objects of the other domains. Each of them merges records
/// by supersedes() before it writes or passes them on, so no record is lost
/// while a duty has too many or no holders.
class summary_exchange
{
public:
    static constexpr std::string_view publish_duty = "summary";
    /// The platform's limit on a value. A summary of 8,192 members with ids
    /// of 20 characters stays below it.
    static constexpr std::size_t max_value_bytes = 1'048'576;

    summary_exchange(
        core_context& context,
        membership& members,
        platform_operations& operations);

    void on(platform_replied const& reply, absl::Time now);
    void tick(absl::Time now);
    absl::Time next_deadline() const;
    /// Reads the summary of the local domain again after a pause.
    void resume();

private:
    std::optional<payload>
    desired_summary(payload const& current, absl::Time now);
    std::optional<payload> desired_domains(payload const& current);
    void merge_local(payload const& value, absl::Time now);
    void merge_watched(
        domain_name const& domain,
        watched_summary& watched,
        platform_result const& result,
        absl::Time now);
    void watch_listed_domains(payload const& value);
    void watch_domain(domain_name const& domain);
    void log_refused_object(object_name const& object, summary_error error);

    core_context& context_;
    membership& members_;
    platform_operations& operations_;
    /// Summary of the local domain: names members to join when no seed answers.
    object_watch local_summary_watch_;
    conditional_writer local_summary_writer_;
    conditional_writer domains_writer_;
    object_watch domains_watch_;
    std::map<domain_name, watched_summary> watched_summaries_;
    /// Content of the local domain's summary object that was merged last.
    payload merged_local_content_;
    /// Digest of the records in merged_local_content_; zero when it is empty or
    /// invalid.
    std::uint64_t merged_local_digest_{};
    bool publishes_summary_{};
    bool watches_summaries_{};
    absl::Time next_duty_check_{absl::InfinitePast()};
};

} // namespace samphire
