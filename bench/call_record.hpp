#pragma once

#include "core/actions/answer_caller.hpp"
#include "core/events/call_received.hpp"

#include <absl/time/time.h>

#include <memory>

namespace samphire::fake
{

/// A call that a caller sent into a virtual mesh, with the first answer to the
/// call.
class call_record
{
public:
    call_record(call_received call, absl::Time sent)
        : call_(std::move(call)), sent_at_(sent)
    {
    }

    call_received const& call() const
    {
        return call_;
    }

    absl::Time sent_at() const
    {
        return sent_at_;
    }

    /// Null until the call is answered.
    answer_caller const* answer() const
    {
        return answer_.get();
    }

    absl::Time answered_at() const
    {
        return answered_at_;
    }

    /// Number of answers after the first answer. A correct daemon sends none.
    unsigned extra_answers() const
    {
        return extra_answers_;
    }

    /// Records the first answer to the call; only counts later answers.
    void record_answer(answer_caller const& answer, absl::Time at)
    {
        if (answer_)
        {
            ++extra_answers_;
            return;
        }
        answer_ = std::make_unique<answer_caller const>(answer);
        answered_at_ = at;
    }

private:
    call_received call_;
    absl::Time sent_at_;
    std::unique_ptr<answer_caller const> answer_;
    absl::Time answered_at_{absl::InfiniteFuture()};
    unsigned extra_answers_{};
};

} // namespace samphire::fake
