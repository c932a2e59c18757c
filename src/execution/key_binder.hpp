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

/// Binds idempotency keys to tickets by conditional writes of shard objects in
/// the platform, with many keys in one write. At most one platform call for
/// each shard is in progress, and the content of a shard is not cached between
/// batches.
class key_binder
{
public:
    explicit key_binder(binder_limits limits);

    void bind(binding_request const& request, absl::Time now);

    /// Drops the request of a call that no longer waits for its ticket. A
    /// request in the batch in progress is not dropped, so its key may still be
    /// bound.
    void drop_request_of(call_id call);

    /// Returns the platform calls that are due. The owner must make each call
    /// and pass its result to on_result().
    std::vector<binding_operation> start_due_calls(absl::Time now);

    /// Handles the result of a platform call for a shard. Returns the results
    /// of the binding requests that the platform call decided.
    /// start_due_calls() returns the next platform call of the batch.
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

    struct shard_progress
    {
        batch_phase phase_{batch_phase::collecting};
        /// Binding requests for the next batch.
        std::list<binding_request> waiting_requests_;
        /// Undecided binding requests of the batch in progress.
        std::list<binding_request> batch_requests_;
        object_version version_{};
        /// Content of the write that is due or in progress.
        payload content_to_write_;
        unsigned lost_answer_count_{};
        /// True when the answer to a write of this batch was lost, so that the
        /// write may have taken effect.
        bool write_in_doubt_{};
    };

    std::vector<binding_result> decide_batch(
        std::size_t shard_number,
        platform_result const& result,
        absl::Time now);
    std::vector<binding_result> on_written(
        std::size_t shard_number, platform_result const& result, absl::Time);
    std::vector<binding_result> end_batch_with_outcome(
        std::size_t shard_number, binding_outcome outcome, absl::Time now);
    void finish_batch(std::size_t shard_number, absl::Time now);
    object_name object_name_of(std::size_t shard_number) const;

    binder_limits const limits_;
    std::map<std::size_t, shard_progress> progress_by_shard_;
    deadline_queue<std::size_t> shard_deadlines_;
};

} // namespace samphire
