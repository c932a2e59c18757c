#include "base/random_source.hpp"
#include "platform/platform_codecs.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace samphire;

namespace
{

std::string const valid_heartbeat =
    R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1",)"
    R"("slots":3,"state":"ready","warmupLeftMs":0,"sequence":4,"born":7})";

std::string const valid_policy =
    R"({"version":"0000001c","routes":{"r":{"host":"h","pathPrefix":"/p/",)"
    R"("kind":"idempotent","timeoutMs":800,"aimMs":1500,"priority":2,)"
    R"("split":[{"service":"s","weight":90},{"service":"t","weight":10}],)"
    R"("maxAttempts":2}},"services":{"s":{"healthPath":"/h",)"
    R"("maxConnections":6}},"limits":{"maxHeaderBytes":100,)"
    R"("maxBodyBytes":200,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

std::string
replace_text(std::string text, std::string const& from, std::string const& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(heartbeat_codec)
{
    std::string defect;

    bool can_decode(std::string const& body)
    {
        defect.clear();
        return heartbeat_codec::decode(upstream_id("i"), body, defect)
            .has_value();
    }
};

TEST(heartbeat_codec, complete_heartbeat_is_decoded)
{
    auto const beat =
        heartbeat_codec::decode(upstream_id("i"), valid_heartbeat, defect);
    CHECK(beat.has_value());
    LONGS_EQUAL(7, beat->start_time_ms_);
    LONGS_EQUAL(4, beat->sequence_);
    LONGS_EQUAL(3, beat->slots_);
    CHECK_FALSE(beat->draining_);
}

TEST(heartbeat_codec, invalid_heartbeat_is_rejected_with_the_field)
{
    struct malformed_case
    {
        char const* valid_text_;
        char const* invalid_text_;
        char const* expected_text_;
    };
    malformed_case const cases[]{
        {"\"born\":7", "\"age\":7", "born"},
        {"\"born\":7", "\"born\":\"7\"", "born"},
        {"\"born\":7", "\"born\":7.5", "born"},
        {"\"sequence\":4", "\"sequence\":null", "sequence"},
        {"\"slots\":3", "\"slots\":0", "slots"},
        {"\"slots\":3", "\"slots\":-1", "slots"},
        {"\"slots\":3", "\"slots\":1e99", "slots"},
        {"\"state\":\"ready\"", "\"state\":\"tired\"", "state"},
        {"10.0.0.1:80", "10.0.0.1", "address"},
        {"10.0.0.1:80", "host:80", "address"},
        {"\"service\":\"s\"", "\"service\":{}", "service"},
        {"\"sequence\":4", "\"sequence\":18446744073709551615", "sequence"},
        {"\"sequence\":4", "\"sequence\":-4", "sequence"},
        {"\"born\":7", "\"born\":18446744073709551615", "born"},
        {"\"born\":7", "\"born\":1e999", "document"},
        {"\"warmupLeftMs\":0", "\"warmupLeftMs\":-1", "warmupLeftMs"},
        {"\"warmupLeftMs\":0", "\"warmupLeftMs\":\"x\"", "warmupLeftMs"},
        {"\"zone\":\"a\"", "\"zone\":\"\xff\"", "document"},
    };
    for (malformed_case const& malformed : cases)
    {
        CHECK_FALSE(can_decode(replace_text(
            valid_heartbeat, malformed.valid_text_, malformed.invalid_text_)));
        CHECK_TEXT(
            defect.find(malformed.expected_text_) != std::string::npos,
            defect.c_str());
    }
}

TEST(heartbeat_codec, body_that_is_not_a_json_object_is_rejected)
{
    for (std::string const& body :
         {std::string(),
          std::string("{"),
          std::string("[]"),
          std::string("\xff\x00\x01", 3),
          std::string("null")})
        CHECK_FALSE(can_decode(body));
}

TEST(heartbeat_codec, upstream_id_is_read_from_the_path)
{
    CHECK(
        heartbeat_codec::upstream_id_in_path("/-/instances/i-1") ==
        upstream_id("i-1"));
    for (char const* path :
         {"/-/instances/", "/-/instances/a/b", "/-/other/i", "/"})
        CHECK_FALSE(heartbeat_codec::upstream_id_in_path(path).has_value());
}

TEST_GROUP(forwarding_policy_codec)
{
    std::string defect;
};

TEST(forwarding_policy_codec, valid_document_is_decoded_into_rules)
{
    auto const policy = forwarding_policy_codec::decode(valid_policy, defect);
    CHECK(policy != nullptr);
    LONGS_EQUAL(0x1c, policy->version_);
    route_rule const& rule = policy->routes_.at(0);
    LONGS_EQUAL(2, rule.shares_.size());
    LONGS_EQUAL(90, rule.shares_[0].weight_);
    CHECK(rule.kind_ == request_kind::idempotent);
    CHECK(rule.timeout_ == absl::Milliseconds(800));
    LONGS_EQUAL(200, policy->client_limits_.max_body_bytes_);
}

TEST(forwarding_policy_codec, unknown_kind_is_non_idempotent)
{
    auto const policy = forwarding_policy_codec::decode(
        replace_text(valid_policy, "\"idempotent\"", "\"odd\""), defect);
    CHECK(policy->routes_.at(0).kind_ == request_kind::non_idempotent);
}

TEST(forwarding_policy_codec, invalid_document_is_rejected_with_the_place)
{
    struct malformed_case
    {
        char const* valid_text_;
        char const* invalid_text_;
        char const* expected_text_;
    };
    malformed_case const cases[]{
        {"0000001c", "xyz", "version"},
        {"\"0000001c\"", "28", "document"},
        {"\"host\":\"h\"", "\"hosts\":\"h\"", "routes.r"},
        {"\"weight\":90", "\"weight\":\"x\"", "routes.r"},
        {"\"timeoutMs\":800", "\"timeoutMs\":\"soon\"", "routes.r"},
        {"\"maxConnections\":6", "\"maxConnections\":[]", "services.s"},
        {"\"maxConnections\":6", "\"maxConnections\":-6", "services.s"},
        {"\"weight\":90", "\"weight\":-1", "weight"},
        {"\"weight\":90", "\"weight\":4294967296", "weight"},
        {"\"maxAttempts\":2", "\"maxAttempts\":-1", "maxAttempts"},
        {"\"maxAttempts\":2", "\"maxAttempts\":0", "maxAttempts"},
        {"\"maxAttempts\":2", "\"maxAttempts\":1e999", "document"},
        {"\"timeoutMs\":800", "\"timeoutMs\":-800", "timeoutMs"},
        {"\"timeoutMs\":800", "\"timeoutMs\":1e300", "timeoutMs"},
        {"\"priority\":2", "\"priority\":5000000000", "priority"},
        {"\"priority\":2", "\"priority\":\"2\"", "priority"},
        {"\"maxBodyBytes\":200", "\"maxBodyBytes\":-200", "maxBodyBytes"},
        {"\"maxHeaderBytes\":100", "\"maxHeaderBytes\":1e30", "maxHeaderB"},
        {"\"limits\":{", "\"limits\":7,\"other\":{", "limits"},
        {"\"pathPrefix\":\"/p/\"", "\"pathPrefix\":\"p\"", "pathPrefix"},
    };
    for (malformed_case const& malformed : cases)
    {
        POINTERS_EQUAL(
            nullptr,
            forwarding_policy_codec::decode(
                replace_text(
                    valid_policy,
                    malformed.valid_text_,
                    malformed.invalid_text_),
                defect)
                .get());
        CHECK_TEXT(
            defect.find(malformed.expected_text_) != std::string::npos,
            defect.c_str());
    }
}

TEST_GROUP(object_store_codec)
{
    store_operation const list_operation{
        .action_ = store_action::list_upstreams};

    std::string const sound_record =
        R"({"daemon":"1.2.3.4:5","id":"i","born":5,"service":"s","zone":"a",)"
        R"("slots":9,"phase":"ready"})";

    static http_response response(std::uint16_t status, std::string body)
    {
        return {.status_ = status, .body_ = payload(std::move(body))};
    }

    static std::string list_entry(
        std::string const& name, std::string const& spec)
    {
        return "{\"metadata\":{\"name\":\"" + name +
               "\",\"revision\":6},\"spec\":" + spec + "}";
    }

    store_outcome decode_list(std::vector<std::string> const& entries) const
    {
        std::string list;
        for (std::string const& entry : entries)
            list += (list.empty() ? "" : ",") + entry;
        return object_store_codec::decode(
            list_operation,
            response(200, "{\"items\":[" + list + "],\"storeRevision\":9}"));
    }
};

TEST(object_store_codec, encoded_object_decodes_to_the_same_record)
{
    upstream_record const record{
        .daemon_ = endpoint(0x0a000001, 7000),
        .id_ = upstream_id("i"),
        .start_time_ms_ = 5,
        .service_ = service_name("s"),
        .zone_ = "a",
        .slots_ = 9,
        .phase_ = upstream_phase::leaving};
    outgoing_request const request = object_store_codec::encode(
        {.action_ = store_action::replace_upstream,
         .name_ = "n",
         .revision_ = 3,
         .record_ = record},
        endpoint(1, 1),
        absl::Seconds(1));
    std::string const body =
        replace_text(request.body_.bytes(), "\"revision\":3", "\"revision\":4");
    store_outcome const out = object_store_codec::decode(
        list_operation,
        response(200, "{\"items\":[" + body + "],\"storeRevision\":8}"));
    CHECK(out.status_ == store_status::done);
    CHECK(out.upstreams_.at(0).record_ == record);
    LONGS_EQUAL(4, out.upstreams_[0].revision_);
    LONGS_EQUAL(8, out.store_revision_);
}

// Guards against revisions that are compared although the store has come back
// from a copy in between.
TEST(object_store_codec, era_of_the_store_is_read_from_every_answer)
{
    struct
    {
        char const* text_;
        std::uint64_t era_;
    } const eras[]{
        {"4", 4},
        {"18446744073709551615", 18446744073709551615u},
        {"0", 0},
        {"", 0},
        {"-1", 0},
        {"4.5", 0},
        {"four", 0},
        {"99999999999999999999", 0}};
    for (auto const& [text, era] : eras)
    {
        for (std::uint16_t const status : {200, 404, 409, 410, 429, 503})
        {
            store_outcome const out = object_store_codec::decode(
                list_operation,
                {.status_ = status, .headers_ = {{"store-era", text}}});
            CHECK_TEXT(out.store_era_ == era, text);
        }
    }
    store_outcome const out = object_store_codec::decode(
        list_operation, {.status_ = 200, .headers_ = {}});
    LONGS_EQUAL(0, out.store_era_);
}

// Guards against the departure of an upstream of which only the id is known
// being passed over by those that read it.
TEST(object_store_codec, departure_without_a_start_and_slots_is_read)
{
    upstream_record const record{
        .daemon_ = endpoint(0x0a000001, 7000),
        .id_ = upstream_id("i"),
        .zone_ = "a",
        .phase_ = upstream_phase::leaving};
    outgoing_request const request = object_store_codec::encode(
        {.action_ = store_action::create_upstream,
         .name_ = "n",
         .record_ = record},
        endpoint(1, 1),
        absl::Seconds(1));
    store_outcome const out = object_store_codec::decode(
        list_operation,
        response(200, "{\"items\":[" + request.body_.bytes() + "]}"));
    LONGS_EQUAL(1, out.upstreams_.size());
    CHECK(out.upstreams_[0].record_ == record);
}

TEST(object_store_codec, access_is_checked_by_a_stale_read)
{
    outgoing_request const request = object_store_codec::encode(
        {.action_ = store_action::check_access, .name_ = "x"},
        endpoint(1, 1),
        absl::Seconds(1));
    STRCMP_EQUAL("GET", request.method_.c_str());
    STRCMP_EQUAL(
        "/-/objects/samphire-upstreams/x?staleOk=1", request.path_.c_str());
}

TEST(object_store_codec, one_upstream_is_read_by_its_name)
{
    store_operation const operation{
        .action_ = store_action::read_upstream, .name_ = "x"};
    outgoing_request const request =
        object_store_codec::encode(operation, endpoint(1, 1), absl::Seconds(1));
    STRCMP_EQUAL("GET", request.method_.c_str());
    STRCMP_EQUAL("/-/objects/samphire-upstreams/x", request.path_.c_str());
    store_outcome const out = object_store_codec::decode(
        operation, response(200, list_entry("x", sound_record)));
    LONGS_EQUAL(6, out.object_revision_);
    LONGS_EQUAL(1, out.upstreams_.size());
    LONGS_EQUAL(9, out.upstreams_[0].record_.slots_);
    store_outcome const odd = object_store_codec::decode(
        operation, response(200, list_entry("x", "7")));
    LONGS_EQUAL(6, odd.object_revision_);
    CHECK(odd.upstreams_.empty());
    CHECK(
        object_store_codec::decode(operation, response(404, "{}")).status_ ==
        store_status::missing);
}

TEST(object_store_codec, invalid_object_does_not_affect_other_objects)
{
    store_outcome const out = object_store_codec::decode(
        list_operation,
        response(
            200,
            R"({"items":[{"metadata":{"name":"x","revision":1},"spec":5},)"
            R"({"metadata":{"name":"y"}},7,)"
            R"({"metadata":{"name":"z","revision":2},"spec":{"daemon":)"
            R"("1.2.3.4:5","id":"i","born":1,"service":"s","zone":"a",)"
            R"("slots":1,"phase":"odd"}}]})"));
    LONGS_EQUAL(1, out.upstreams_.size());
    LONGS_EQUAL(3, out.object_defects_.size());
    CHECK(out.upstreams_[0].record_.phase_ == upstream_phase::unknown);
}

// Guards against one odd entry of another writer that hides all others or is
// believed. Each entry stands beside one that is right.
TEST(object_store_codec, odd_entry_is_skipped_alone_and_named)
{
    std::string const sound = list_entry("sound", sound_record);
    std::string const deep(200'000, '[');
    std::pair<char const*, std::string> const replacements[]{
        {"\"slots\":9", "\"slots\":1e999"},
        {"\"slots\":9", "\"slots\":-1"},
        {"\"slots\":9", "\"slots\":0"},
        {"\"slots\":9", "\"slots\":9.5"},
        {"\"slots\":9", "\"slots\":99999999999999999999999"},
        {"\"slots\":9", "\"slots\":18446744073709551615"},
        {"\"slots\":9", "\"slots\":" + deep + std::string(200'000, ']')},
        {"\"born\":5", "\"born\":18446744073709551615"},
        {"\"born\":5", "\"born\":-5"},
        {"\"born\":5", "\"born\":\"5\""},
        {"1.2.3.4:5", "1.2.3.4:65536"},
        {"1.2.3.4:5", "1.2.3.4:0"},
        {"1.2.3.4:5", "1.2.3.4:-1"},
        {"1.2.3.4:5", "1.2.3.4:99999999999999999999"},
        {"1.2.3.4:5", "0.0.0.0:5"},
        {"1.2.3.4:5", "255.255.255.255:5"},
        {"1.2.3.4:5", "239.0.0.1:5"},
        {"1.2.3.4:5", "host:5"},
        {"\"service\":\"s\"", "\"service\":[\"s\"]"},
        {"\"service\":\"s\"", "\"service\":\"\xff\xfe\""},
        {"\"service\":\"s\"",
         "\"service\":\"" + std::string(1 << 20, 's') + "\""},
        {"\"zone\":\"a\"", "\"zone\":\"" + std::string(1 << 20, 'a') + "\""},
        {"\"id\":\"i\"", "\"id\":null"},
    };
    for (auto const& [from, to] : replacements)
    {
        store_outcome const out = decode_list(
            {list_entry("odd", replace_text(sound_record, from, to)), sound});
        CHECK_TEXT(out.status_ == store_status::done, to.substr(0, 80).c_str());
        CHECK_TEXT(out.upstreams_.size() == 1, to.substr(0, 80).c_str());
        STRCMP_EQUAL("sound", out.upstreams_[0].name_.c_str());
        LONGS_EQUAL(1, out.object_defects_.size());
        STRCMP_EQUAL("odd", out.object_defects_[0].name_.c_str());
        LONGS_EQUAL(6, out.object_defects_[0].revision_);
        CHECK(out.object_defects_[0].text_.size() < 300);
        LONGS_EQUAL(9, out.store_revision_);
    }
}

// Guards against metadata of a wrong type that hides the other entries.
TEST(object_store_codec, entry_with_odd_metadata_is_skipped_alone)
{
    std::string const sound = list_entry("sound", sound_record);
    for (char const* metadata :
         {"7",
          "null",
          "[]",
          R"({"name":5,"revision":1})",
          R"({"name":"x","revision":"1"})",
          R"({"name":"x","revision":-1})",
          R"({"name":"x","revision":18446744073709551615})",
          R"({"name":"","revision":1})"})
    {
        store_outcome const out = decode_list(
            {"{\"metadata\":" + std::string(metadata) +
                 ",\"spec\":" + sound_record + "}",
             sound});
        CHECK_TEXT(out.upstreams_.size() == 1, metadata);
        LONGS_EQUAL(1, out.object_defects_.size());
    }
}

// Guards against a list that ends early because the last entry of a page is
// unreadable.
TEST(object_store_codec, list_continues_after_an_odd_entry)
{
    store_outcome const out = decode_list(
        {list_entry("a", sound_record), list_entry("b", "{\"slots\":1e999}")});
    STRCMP_EQUAL("b", out.last_object_name_.c_str());
}

// Guards against a policy of another writer that ends the process: code that
// visits it recursively exhausts the stack.
TEST(object_store_codec, deeply_nested_policy_is_rejected)
{
    std::string const deep =
        std::string(200'000, '[') + std::string(200'000, ']');
    for (char const* list : {"items", "events"})
    {
        std::string const object = "{\"metadata\":{\"name\":\"main\","
                                   "\"revision\":3},\"spec\":{\"x\":" +
                                   deep + "}}";
        bool const is_event = std::string(list) == "events";
        store_outcome const out = object_store_codec::decode(
            {.action_ = store_action::read_policy},
            response(
                200,
                std::string("{\"") + list + "\":[" +
                    (is_event ? "{\"object\":" + object + "}" : object) +
                    "],\"storeRevision\":3}"));
        CHECK(out.status_ == store_status::done);
        CHECK(out.policy_ == nullptr);
        LONGS_EQUAL(1, out.object_defects_.size());
        LONGS_EQUAL(3, out.store_revision_);
    }
}

TEST(object_store_codec, odd_envelope_has_unknown_outcome)
{
    for (char const* body :
         {"[]",
          "7",
          R"({"storeRevision":"9","items":[]})",
          R"({"storeRevision":-1,"items":[]})",
          R"({"storeRevision":1e999,"items":[]})",
          R"({"more":"yes","items":[]})",
          R"({"items":{}})"})
        CHECK_TEXT(
            object_store_codec::decode(list_operation, response(200, body))
                    .status_ == store_status::unknown,
            body);
}

TEST(object_store_codec, http_status_is_mapped_to_store_status)
{
    std::pair<std::uint16_t, store_status> const cases[]{
        {200, store_status::done},
        {201, store_status::done},
        {404, store_status::missing},
        {409, store_status::conflict},
        {410, store_status::history_gone},
        {429, store_status::refused},
        {503, store_status::refused},
        {500, store_status::unknown},
    };
    for (auto const& [status, expected] : cases)
        CHECK(
            object_store_codec::decode(list_operation, response(status, "{}"))
                .status_ == expected);
}

TEST(object_store_codec, malformed_response_has_unknown_outcome)
{
    CHECK(
        object_store_codec::decode(list_operation, response(200, "{\"items\":"))
            .status_ == store_status::unknown);
}

// Guards against decoders that crash or read out of bounds on randomly changed
// documents; sanitizer builds detect the latter.
TEST(object_store_codec, randomly_changed_document_does_not_crash_a_decoder)
{
    random_source random(11);
    std::string const list_body = "{\"items\":[{\"metadata\":{\"name\":"
                                  "\"main\",\"revision\":3},\"spec\":" +
                                  valid_policy + "}],\"storeRevision\":3}";
    for (int i = 0; i < 20'000; ++i)
    {
        std::string texts[]{valid_heartbeat, valid_policy, list_body};
        for (std::string& text : texts)
        {
            for (std::uint64_t n = random() % 4 + 1; n > 0; --n)
                text[random() % text.size()] = static_cast<char>(random());
            if (random() % 4 == 0)
                text.resize(random() % text.size());
        }
        std::string defect;
        heartbeat_codec::decode(upstream_id("i"), texts[0], defect);
        forwarding_policy_codec::decode(texts[1], defect);
        object_store_codec::decode(
            {.action_ = store_action::read_policy}, response(200, texts[2]));
    }
}
