#pragma once

#include "document/document_error.hpp"
#include "document/number_range.hpp"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace samphire
{

/// Reads the fields of one JSON object of another party. Each function throws
/// document_error when the field is missing, has another type or lies outside
/// its range; functions with a default return it for a missing field.
class field_reader
{
public:
    explicit field_reader(nlohmann::json const& object);

    /// Reads a whole number.
    std::int64_t integer(char const* name, number_range range) const;
    std::int64_t integer(
        char const* name, number_range range, std::int64_t default_value) const;

    /// Reads a number of milliseconds, which may have a fraction.
    absl::Duration duration(
        char const* name,
        absl::Duration max_value,
        absl::Duration default_value) const;

    /// Reads a text of 1 to `max_bytes` bytes.
    std::string text(char const* name, std::size_t max_bytes) const;
    std::string text(
        char const* name,
        std::size_t max_bytes,
        std::string const& default_value) const;
    /// Reads a text of at most `max_bytes` bytes.
    std::string
    possibly_empty_text(char const* name, std::size_t max_bytes) const;

    /// Reads an object.
    nlohmann::json const& object(char const* name) const;

private:
    /// Returns nullptr when the object has no such field, or when the field is
    /// null.
    nlohmann::json const* find(char const* name) const;
    nlohmann::json const& at(char const* name) const;

    nlohmann::json const& object_;
};

} // namespace samphire
