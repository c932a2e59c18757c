#pragma once

#include <memory>
#include <string>
#include <utility>

namespace samphire
{

/// Immutable bytes of a request or an answer. Copies share the bytes, also
/// between threads.
class payload
{
public:
    payload() = default;
    explicit payload(std::string bytes)
        : bytes_(std::make_shared<std::string const>(std::move(bytes)))
    {
    }

    std::string const& bytes() const
    {
        static std::string const empty;
        return bytes_ ? *bytes_ : empty;
    }

    std::size_t size() const
    {
        return bytes().size();
    }

    friend bool operator==(payload const& left, payload const& right)
    {
        return left.bytes() == right.bytes();
    }

private:
    std::shared_ptr<std::string const> bytes_;
};

} // namespace samphire
