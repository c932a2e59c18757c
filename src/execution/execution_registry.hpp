#pragma once

#include "base/incarnation.hpp"
#include "execution/execution_policy.hpp"
#include "execution/registry_limits.hpp"

#include <absl/container/flat_hash_map.h>

#include <list>
#include <memory>

namespace samphire
{

/// Ensures that the request of each ticket runs at most once. Keeps the records
/// of the current and the previous epoch and refuses tickets of every other
/// epoch, so that memory is bounded and no ticket without a record can run
/// again.
class execution_registry
{
public:
    execution_registry(incarnation own_incarnation, registry_limits limits);

    ticket_lookup_result accept(execution_ticket const& ticket, absl::Time now);
    void record_answer(
        request_id const& nonce, stored_answer const& answer, absl::Time now);
    void close(request_id const& nonce, absl::Time now);
    void record_unknown(request_id const& nonce, absl::Time now);
    ticket_lookup_result
    query(execution_ticket const& ticket, bool close, absl::Time now);
    ticket_epoch epoch(absl::Time now);
    std::vector<answered_record> records() const;

private:
    struct record
    {
        ticket_state state_{};
        ticket_epoch epoch_{};
        std::shared_ptr<stored_answer const> answer_{};
    };

    bool is_retained(execution_ticket const& ticket) const;
    void advance_epoch(absl::Time now);
    void start_next_epoch(absl::Time now);
    void drop_old_records();
    void set_state(request_id const& nonce, ticket_state state);
    void drop_answers_over_limit();
    static ticket_lookup_result lookup_result_of(record const& entry);

    incarnation const incarnation_;
    registry_limits const limits_;
    absl::flat_hash_map<request_id, record> records_;
    /// Nonces with a stored answer, oldest first.
    std::list<request_id> answered_nonces_;
    std::size_t stored_answer_bytes_{};
    ticket_epoch epoch_{1};
    /// Number of tickets accepted in the current epoch. A new epoch starts at
    /// half of the maximum number of records, so that the records of two epochs
    /// fit.
    std::size_t tickets_accepted_in_epoch_{};
    absl::Time epoch_ends_at_{absl::InfinitePast()};
};

} // namespace samphire
