#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/time/time.h>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace samphire
{

/// Bounded queue between duty threads. Consumers wait on a condition variable.
/// Uses std::mutex because Debian builds Abseil without ThreadSanitizer
/// support, so that ThreadSanitizer reports false races under absl::Mutex.
template <class T>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity) : capacity_(capacity)
    {
    }

    /// Adds `value`, or returns false at once when the ring is full or closed.
    bool try_push(T value)
    {
        if (!try_push_without_notify(std::move(value)))
            return false;
        readable_.notify_one();
        return true;
    }

    /// Like try_push, but does not wake a waiting consumer, which gets the
    /// value at its timeout or at the next push. For values that are not
    /// urgent.
    bool try_push_without_notify(T value)
    {
        std::scoped_lock const lock(mutex_);
        if (closed_ || values_.size() >= capacity_)
            return false;
        values_.push_back(std::move(value));
        return true;
    }

    /// Adds `value`, waiting for a free slot; returns false once the ring is
    /// closed.
    bool push(T value)
    {
        {
            std::unique_lock lock(mutex_);
            writable_.wait(
                lock, [&] { return closed_ || values_.size() < capacity_; });
            if (closed_)
                return false;
            values_.push_back(std::move(value));
        }
        readable_.notify_one();
        return true;
    }

    /// Removes and returns the oldest value; nothing when the ring is empty.
    std::optional<T> try_pop()
    {
        std::optional<T> result;
        {
            std::scoped_lock const lock(mutex_);
            if (values_.empty())
                return result;
            result.emplace(std::move(values_.front()));
            values_.pop_front();
        }
        writable_.notify_one();
        return result;
    }

    /// Waits up to `timeout` for a value and removes it; nothing on timeout, or
    /// when the ring is closed and empty.
    std::optional<T> pop(absl::Duration timeout)
    {
        std::optional<T> result;
        {
            std::unique_lock lock(mutex_);
            readable_.wait_for(
                lock,
                absl::ToChronoNanoseconds(timeout),
                [&] { return closed_ || !values_.empty(); });
            if (values_.empty())
                return result;
            result.emplace(std::move(values_.front()));
            values_.pop_front();
        }
        writable_.notify_one();
        return result;
    }

    /// Refuses further values; those in the ring can still be removed.
    void close()
    {
        {
            std::scoped_lock const lock(mutex_);
            closed_ = true;
        }
        readable_.notify_all();
        writable_.notify_all();
    }

    bool closed() const
    {
        std::scoped_lock const lock(mutex_);
        return closed_;
    }

private:
    std::size_t const capacity_;
    std::mutex mutable mutex_;
    std::condition_variable readable_;
    std::condition_variable writable_;
    std::deque<T> values_ ABSL_GUARDED_BY(mutex_);
    bool closed_ ABSL_GUARDED_BY(mutex_){};
};

} // namespace samphire
