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
/// Two daemons of each domain own the publish duty and write the members of the
/// domain to one platform object. Two daemons own the watch duty and read the
/// objects of the other domains. Each of these daemons merges member records by
/// supersedes() before it writes or disseminates them, so no record is lost
/// while a duty has too many owners or none.
class summary_exchange
{
public:
    static constexpr std::string_view publish_duty = "summary";
    /// Limit of the platform on the size of a value. A summary of 8,192 members
    /// with ids of 20 characters is smaller.
    static constexpr std::size_t max_value_bytes = 1'048'576;

    summary_exchange(
        core_context& context,
        membership& members,
        platform_operations& operations);

    void on(platform_replied const& reply, absl::Time now);
    void tick(absl::Time now);
    absl::Time next_deadline() const;
    /// Reads the summary of the local domain again after a pause of the
    /// process.
    void resume();

private:
    std::optional<payload>
    summary_to_write(payload const& current_content, absl::Time now);
    std::optional<payload> domain_list_to_write(payload const& current_content);
    void merge_summary_of_local_domain(payload const& value, absl::Time now);
    void merge_watched_summary(
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
    /// Reads the summary of the local domain, which names members that this
    /// daemon can join when no seed answers.
    object_watch local_summary_watch_;
    conditional_writer local_summary_writer_;
    conditional_writer domains_writer_;
    object_watch domains_watch_;
    std::map<domain_name, watched_summary> watched_summaries_;
    /// Content of the summary object of the local domain that was last merged
    /// into the membership.
    payload merged_local_content_;
    /// Digest of the member records in merged_local_content_; zero when that
    /// content is empty or invalid.
    std::uint64_t merged_local_digest_{};
    bool publishes_summary_{};
    bool watches_summaries_{};
    absl::Time next_duty_check_at_{absl::InfinitePast()};
};

} // namespace samphire
