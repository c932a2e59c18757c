#pragma once

#include <unistd.h>
#include <utility>

namespace samphire
{

/// Owns one open file descriptor; -1 stands for none.
class file_descriptor
{
public:
    file_descriptor() = default;
    explicit file_descriptor(int value) : value_(value)
    {
    }
    file_descriptor(file_descriptor&& other) noexcept
        : value_(std::exchange(other.value_, -1))
    {
    }
    file_descriptor& operator=(file_descriptor&& other) noexcept
    {
        if (this != &other)
        {
            reset();
            value_ = std::exchange(other.value_, -1);
        }
        return *this;
    }
    ~file_descriptor()
    {
        reset();
    }

    int get() const
    {
        return value_;
    }

    bool valid() const
    {
        return value_ >= 0;
    }

    void reset()
    {
        if (value_ >= 0)
            ::close(value_);
        value_ = -1;
    }

private:
    int value_{-1};
};

} // namespace samphire
