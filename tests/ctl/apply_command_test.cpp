#include "ctl/apply_command.hpp"
#include "ctl/scripted_platform.hpp"
#include "ctl/validate_command.hpp"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace samphire;

TEST_GROUP(apply_command)
{
    fake::scripted_platform platform;
    policy_store<fake::scripted_platform> store{platform};

    static std::string document(
        unsigned revision_number, char const* daemon = "d-1")
    {
        return fmt::format(
            R"({{"format":1,"revision":{},"leaving":["{}"]}})",
            revision_number,
            daemon);
    }

    static std::string canonical(std::string const& text)
    {
        return format_policy(parse_policy(text).value());
    }

    void write_as_other_operator(std::string const& text)
    {
        platform.store().put(object_name("policy"), payload(canonical(text)));
    }

    std::string stored()
    {
        return store.read().value().text_;
    }

    exit_code apply(std::string const& text)
    {
        return apply_document(text, store).code_;
    }
};

// Guards against a first document that cannot be stored.
TEST(apply_command, absent_object_is_created)
{
    CHECK(apply(document(1)) == exit_code::done);
    STRCMP_EQUAL(canonical(document(1)).c_str(), stored().c_str());
}

// Guards against a document that replaces one of the same or a higher revision.
TEST(apply_command, revision_not_higher_is_refused)
{
    apply(document(5));
    CHECK(apply(document(4)) == exit_code::refused);
    CHECK(apply(document(5, "d-2")) == exit_code::refused);
    STRCMP_EQUAL(canonical(document(5)).c_str(), stored().c_str());
}

// Guards against a faulty document that reaches the platform.
TEST(apply_command, invalid_document_is_refused_and_not_stored)
{
    CHECK(apply(document(0)) == exit_code::refused);
    STRCMP_EQUAL("", stored().c_str());
}

// Guards against an operator's change that silently replaces another's.
TEST(apply_command, conflict_keeps_and_shows_both_documents)
{
    apply(document(1));
    std::string const other = document(2, "theirs");
    // Calls 1 to 3: read and write of revision 1, read before revision 3.
    platform.interrupt_before(4, [&] { write_as_other_operator(other); });
    command_result const result = apply_document(document(3, "mine"), store);
    CHECK(result.code_ == exit_code::conflict);
    STRCMP_CONTAINS("\"theirs\"", result.errors_.c_str());
    STRCMP_CONTAINS("\"mine\"", result.errors_.c_str());
    STRCMP_EQUAL(canonical(other).c_str(), stored().c_str());
}

// Guards against a document that is reported as a conflict with itself when the
// response to its write is lost.
TEST(apply_command, lost_write_response_recognises_own_content)
{
    platform.lose_response(2);
    CHECK(apply(document(1)) == exit_code::done);
}

// Guards against a document that is reported as a conflict with itself when the
// responses to its write and to the read after it are lost.
TEST(apply_command, lost_write_and_read_responses_recognise_own_content)
{
    platform.lose_response(2);
    platform.lose_response(3);
    CHECK(apply(document(1)) == exit_code::done);
}

// Guards against a report of "applied" or "refused" when the outcome is
// unknown.
TEST(apply_command, lost_responses_in_a_row_are_unknown_and_rerun_succeeds)
{
    for (unsigned call = 2; call <= 7; ++call)
        platform.lose_response(call);
    CHECK(apply(document(1)) == exit_code::unknown);
    CHECK(apply(document(1)) == exit_code::done);
}

// Guards against a report of success during an outage of the platform.
TEST(apply_command, outage_is_reported_and_changes_nothing)
{
    platform.store().set_unavailable(true);
    CHECK(apply(document(1)) == exit_code::refused);
    platform.store().set_unavailable(false);
    STRCMP_EQUAL("", stored().c_str());
}

// Guards against a comparison with revision zero when the stored document
// cannot be read, which would let a lower revision in.
TEST(apply_command, unreadable_stored_document_is_not_replaced)
{
    platform.store().put(object_name("policy"), payload("{"));
    CHECK(apply(document(1)) == exit_code::refused);
}

// Guards against a validate command that prints another document than apply
// stores.
TEST(apply_command, validate_prints_what_apply_stores)
{
    apply(document(1));
    STRCMP_EQUAL(
        validate_document(document(1)).output_.c_str(), stored().c_str());
}
