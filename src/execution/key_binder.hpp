#pragma once

#include "base/deadline_queue.hpp"
#include "execution/binder_limits.hpp"
#include "execution/binding_operation.hpp"
#include "execution/binding_request.hpp"
#include "execution/binding_result.hpp"
#include "execution/binding_shard.hpp"
#include "object_api/platform_result.hpp"

#include <list>
#include <map>
#include <vector>

namespace samphire
{

/// Binds idempotency keys to tickets by conditional update of shard objects in
/// the platform, many keys to one write. A shard has at most one platform call
/// in progress and keeps no content between its batches.
class key_binder
{
public:
    explicit key_binder(binder_limits limits);

    void bind(binding_request const& request, absl::Time now);

    /// Drops the request of a call that no longer waits. A request in the batch
    /// in progress is kept, so its ticket may still be stored.
    void forget(call_id call);

    /// Returns the platform calls that are due; on_result() must be called with
    /// the result of each.
    std::vector<binding_operation> start_due(absl::Time now);

    /// Handles the result of a platform call for a shard and returns the
    /// requests that it decides. start_due() returns the next platform call of
    /// the batch.
    std::vector<binding_result> on_result(
        std::size_t shard_number,
        platform_result const& result,
        absl::Time now);

    absl::Time next_deadline() const;

private:
    enum class batch_phase : std::uint8_t
    {
        collecting,
        reading,
        writing,
    };

    struct shard_state
    {
        batch_phase phase_{batch_phase::collecting};
        /// Requests for the next batch.
        std::list<binding_request> waiting_requests_;
        /// Undecided requests of the batch in progress.
        std::list<binding_request> batch_;
        object_version version_{};
        /// Value of the write that is due or in progress.
        payload write_value_;
        unsigned lost_answers_{};
        /// True when the answer to a write of this batch was lost, so that the
        /// write may have taken effect.
        bool write_in_doubt_{};
    };

    std::vector<binding_result> merge(
        std::size_t shard_number,
        platform_result const& result,
        absl::Time now);
    std::vector<binding_result> on_written(
        std::size_t shard_number, platform_result const& result, absl::Time);
    std::vector<binding_result> fail_batch(
        std::size_t shard_number, binding_outcome outcome, absl::Time now);
    void finish_batch(std::size_t shard_number, absl::Time now);
    object_name object_name_of(std::size_t shard_number) const;

    binder_limits const limits_;
    std::map<std::size_t, shard_state> shards_;
    deadline_queue<std::size_t> shard_deadlines_;
};

} // namespace samphire
