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

/// The policy document in force at this daemon, and how it is learned: two
/// daemons of each domain watch the platform, the others learn the revision
/// from probes and fetch changed sections from a peer.
template <policies Policies>
class configuration
{
public:
    static constexpr std::string_view watch_duty = "policy-watch";
    /// Limit on reading the revision again after a pause. Shorter than at the
    /// start because a document is in force and callers wait.
    static constexpr absl::Duration resume_wait = absl::Milliseconds(500);

    configuration(
        core_context& context,
        membership& members,
        platform_operations& operations);

    policy_index const& index() const
    {
        return index_;
    }

    /// Puts the document in force if the revision policy accepts it.
    bool offer(std::shared_ptr<policy_document const> document, absl::Time now);

    void on(platform_replied const& reply, absl::Time now);
    void
    on(peer_identity const& from,
       section_request const& request,
       absl::Time now);
    void
    on(peer_identity const& from, section_reply const& reply, absl::Time now);
    void on(peer_unreachable const& lost, absl::Time now);
    void tick(absl::Time now);
    absl::Time next_deadline() const;

    /// Reads the highest revision again after a pause.
    void resume(absl::Time now);
    /// Reports no more readiness.
    void stop();
    /// True when the highest known revision was read since the start, or since
    /// the last pause, or could not be read in time.
    bool settled() const
    {
        return started_ && read_.done();
    }

private:
    void offer_text(std::string_view text, std::string source, absl::Time now);
    void fetch(absl::Time now);
    void report_ready();
    void report_refused(
        std::string const& source, std::vector<policy_error> const& errors);

    core_context& context_;
    membership& members_;
    platform_operations& operations_;
    typename Policies::revision revision_;
    policy_index index_;
    object_watch watch_;
    initial_read read_;
    policy_fetch fetch_;
    /// Ask the next peer for every section: what it left out is not held.
    bool fetch_whole_{};
    bool started_{};
    bool stopped_{};
    bool follows_{};
    absl::Time next_duty_check_{absl::InfinitePast()};
    absl::Time now_{absl::InfinitePast()};
};

} // namespace samphire

#include "core/configuration.ipp"
