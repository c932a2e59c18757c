#pragma once

#include "config/initial_read.hpp"
#include "config/policy_fetch.hpp"
#include "core/core_context.hpp"
#include "core/events/peer_unreachable.hpp"
#include "core/events/platform_replied.hpp"
#include "core/object_watch.hpp"
#include "core/policies.hpp"
#include "membership/membership.hpp"
#include "policy/policy_error.hpp"
#include "policy/policy_index.hpp"

#include <absl/time/time.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace samphire
{

/// Holds the policy document in force at this daemon and keeps it current. Two
/// daemons of each domain watch the document in the platform. The other daemons
/// learn the policy revision from membership probes and fetch the changed
/// sections of the document from a peer.
template <policies Policies>
class configuration
{
public:
    static constexpr std::string_view watch_duty = "policy-watch";
    /// Time limit for reading the policy revision again after a pause of the
    /// process. This limit is shorter than the limit after the start, because a
    /// policy document is in force and callers are waiting.
    static constexpr absl::Duration resume_read_timeout =
        absl::Milliseconds(500);

    configuration(
        core_context& context,
        membership& members,
        platform_operations& operations);

    policy_index const& index() const
    {
        return index_;
    }

    /// Puts the policy document in force if Policies::revision accepts the
    /// revision of the document. Returns false, and keeps the document in
    /// force, if not.
    bool offer(std::shared_ptr<policy_document const> document, absl::Time now);

    void on(platform_replied const& reply, absl::Time now);
    void
    on(peer_identity const& from,
       section_request const& request,
       absl::Time now);
    void
    on(peer_identity const& from, section_reply const& reply, absl::Time now);
    void on(peer_unreachable const& event, absl::Time now);
    void tick(absl::Time now);
    absl::Time next_deadline() const;

    /// Starts to read the highest policy revision again after a pause of the
    /// process.
    void resume(absl::Time now);
    /// Suppresses all later readiness reports, because the daemon is stopping.
    void stop();

    /// Returns true when the read of the policy revision after the start, or
    /// after the last pause, has finished: the highest known revision was read,
    /// or the time limit passed.
    bool revision_read_finished() const
    {
        return initial_read_started_ && initial_read_.is_done();
    }

private:
    void offer_policy_text(
        std::string_view text, std::string source, absl::Time now);
    void fetch_newer_policy(absl::Time now);
    void report_ready();
    void log_refused_policy(
        std::string const& source, std::vector<policy_error> const& errors);

    core_context& context_;
    membership& members_;
    platform_operations& operations_;
    typename Policies::revision revision_;
    policy_index index_;
    object_watch policy_watch_;
    initial_read initial_read_;
    policy_fetch policy_fetch_;
    /// True when the next fetch requests all sections, because the last
    /// section_reply left out sections that this daemon does not hold.
    bool fetch_all_sections_{};
    bool initial_read_started_{};
    bool readiness_reports_stopped_{};
    bool watches_platform_{};
    absl::Time next_duty_check_at_{absl::InfinitePast()};
    absl::Time last_tick_at_{absl::InfinitePast()};
};

} // namespace samphire

#include "core/configuration.ipp"
