#pragma once

#include "core/actions/answer_caller.hpp"
#include "core/events/call_received.hpp"

#include <absl/time/time.h>

#include <memory>

namespace samphire::fake
{

/// One call of a caller and its answer, if it has one.
class caller_record
{
public:
    caller_record(call_received call, absl::Time sent)
        : call_(std::move(call)), sent_(sent)
    {
    }

    call_received const& call() const
    {
        return call_;
    }

    absl::Time sent() const
    {
        return sent_;
    }

    /// Null while there is none.
    answer_caller const* answer() const
    {
        return answer_.get();
    }

    absl::Time answered() const
    {
        return answered_;
    }

    /// Answers after the first, which must not happen.
    unsigned extra_answers() const
    {
        return extra_answers_;
    }

    void set_answer(answer_caller const& answer, absl::Time at)
    {
        if (answer_)
        {
            ++extra_answers_;
            return;
        }
        answer_ = std::make_unique<answer_caller const>(answer);
        answered_ = at;
    }

private:
    call_received call_;
    absl::Time sent_;
    std::unique_ptr<answer_caller const> answer_;
    absl::Time answered_{absl::InfiniteFuture()};
    unsigned extra_answers_{};
};

} // namespace samphire::fake
