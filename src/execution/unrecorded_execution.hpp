#pragma once

#include "base/incarnation.hpp"
#include "execution/execution_policy.hpp"
#include "execution/registry_limits.hpp"

namespace samphire
{

/// Baseline of the compile-time execution policy: lets every request run that
/// arrives, and keeps no records.
class unrecorded_execution
{
public:
    unrecorded_execution(incarnation self, registry_limits limits);

    ticket_lookup_result accept(execution_ticket const& ticket, absl::Time now);
    void record_answer(
        request_id const& nonce, stored_answer const& answer, absl::Time now);
    void close(request_id const& nonce, absl::Time now);
    void record_unknown(request_id const& nonce, absl::Time now);
    ticket_lookup_result
    query(execution_ticket const& ticket, bool close, absl::Time now);
    ticket_epoch epoch(absl::Time now);
    std::vector<answered_record> records() const;
};

} // namespace samphire
