/**
 * @file envelope_test.cc
 * Tests of envelopes, bodies and replay windows.
 */
#include <gtest/gtest.h>

#include <iostream>
#include <random>
#include <set>
#include <vector>

#include "base/body_func.h"
#include "base/result_func.h"
#include "peer/envelope_func.h"
#include "peer/replay_window_base.h"

namespace boragewharf {
namespace {

const PeerKey kOldKey{1, "old-secret-0123456789"};
const PeerKey kNewKey{2, "new-secret-0123456789"};

Envelope SampleEnvelope(EnvelopeKind kind) {
  Envelope envelope;
  envelope.kind = kind;
  envelope.type = MessageType::kPing;
  envelope.sender = MemberId{0x1122334455667788};
  envelope.incarnation = 3;
  envelope.sequence = 9;
  if (kind != EnvelopeKind::kDatagram) {
    envelope.challenge = 77;
    envelope.nonce = 88;
  }
  envelope.body = "body of the message";
  return envelope;
}

struct Sample {
  std::vector<std::string> names;
  std::optional<uint32_t> number;
  bool flag = false;

  bool operator==(const Sample&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->names, this->number, this->flag);
  }
};

TEST(EnvelopeTest, RoundTripOfEachKind) {
  const PeerKeys keys{{kOldKey}};
  for (const auto kind : {EnvelopeKind::kDatagram, EnvelopeKind::kHello,
                          EnvelopeKind::kRequest, EnvelopeKind::kResponse}) {
    const Envelope envelope = SampleEnvelope(kind);
    const auto opened =
        OpenEnvelope(keys, kind, SealEnvelope(keys, envelope).value());
    ASSERT_TRUE(opened);
    EXPECT_EQ(opened->type, envelope.type);
    EXPECT_EQ(opened->sender, envelope.sender);
    EXPECT_EQ(opened->incarnation, envelope.incarnation);
    EXPECT_EQ(opened->sequence, envelope.sequence);
    EXPECT_EQ(opened->challenge, envelope.challenge);
    EXPECT_EQ(opened->nonce, envelope.nonce);
    EXPECT_EQ(opened->body, envelope.body);
  }
}

// Guards against a kind that passes as another one, e.g. a recorded response
// that is sent as a request.
TEST(EnvelopeTest, RefusesAnotherKind) {
  const PeerKeys keys{{kOldKey}};
  const auto sealed =
      SealEnvelope(keys, SampleEnvelope(EnvelopeKind::kResponse));
  EXPECT_FALSE(OpenEnvelope(keys, EnvelopeKind::kRequest, *sealed));
  EXPECT_EQ(LastReason().code, ResultCode::kPeerUnknownType);
}

// Guards against reads past the end, and against a prefix that is accepted.
TEST(EnvelopeTest, RefusesTruncationAtEveryLength) {
  const PeerKeys keys{{kOldKey}};
  for (const auto kind : {EnvelopeKind::kDatagram, EnvelopeKind::kRequest}) {
    const std::string sealed = SealEnvelope(keys, SampleEnvelope(kind)).value();
    const size_t header = kind == EnvelopeKind::kDatagram ? kDatagramHeaderBytes
                                                          : kFrameHeaderBytes;
    for (size_t length = 0; length < sealed.size(); ++length) {
      // A copy of exact size lets the address sanitizer see overreads.
      const std::vector<char> prefix(
          sealed.begin(), sealed.begin() + static_cast<std::ptrdiff_t>(length));
      EXPECT_FALSE(
          OpenEnvelope(keys, kind, std::string_view(prefix.data(), length)));
      EXPECT_EQ(LastReason().code, length < header + kMacBytes
                                       ? ResultCode::kPeerTruncated
                                       : ResultCode::kPeerBadMac)
          << length;
    }
  }
}

// Guards against a field that the MAC does not cover.
TEST(EnvelopeTest, RefusesEveryFlippedBit) {
  const PeerKeys keys{{kOldKey}};
  const std::string sealed =
      SealEnvelope(keys, SampleEnvelope(EnvelopeKind::kRequest)).value();
  for (size_t bit = 0; bit < sealed.size() * 8; ++bit) {
    std::string changed = sealed;
    changed[bit / 8] = static_cast<char>(changed[bit / 8] ^ (1 << (bit % 8)));
    EXPECT_FALSE(OpenEnvelope(keys, EnvelopeKind::kRequest, changed)) << bit;
  }
}

TEST(EnvelopeTest, RefusesWrongSecretAndUnknownKey) {
  const std::string sealed =
      SealEnvelope({{kOldKey}}, SampleEnvelope(EnvelopeKind::kDatagram))
          .value();
  const PeerKey other_secret{kOldKey.id, "another-secret-012345"};
  EXPECT_FALSE(OpenEnvelope({{other_secret}}, EnvelopeKind::kDatagram, sealed));
  EXPECT_EQ(LastReason().code, ResultCode::kPeerBadMac);
  EXPECT_FALSE(OpenEnvelope({{kNewKey}}, EnvelopeKind::kDatagram, sealed));
  EXPECT_EQ(LastReason().code, ResultCode::kPeerUnknownKey);
}

// Guards against a rotation that separates daemons: in each step, daemons
// before and after the step understand each other.
TEST(EnvelopeTest, KeyRotationNeverSeparates) {
  const std::vector<PeerKeys> steps = {
      {{kOldKey}}, {{kOldKey, kNewKey}}, {{kNewKey, kOldKey}}, {{kNewKey}}};
  for (size_t step = 0; step + 1 < steps.size(); ++step) {
    for (const auto& [from, to] :
         {std::pair{step, step + 1}, std::pair{step + 1, step}}) {
      const auto sealed =
          SealEnvelope(steps[from], SampleEnvelope(EnvelopeKind::kDatagram));
      EXPECT_TRUE(OpenEnvelope(steps[to], EnvelopeKind::kDatagram, *sealed))
          << from << " to " << to;
    }
  }
}

TEST(EnvelopeTest, RefusesOversize) {
  const PeerKeys keys{{kOldKey}};
  Envelope envelope = SampleEnvelope(EnvelopeKind::kDatagram);
  envelope.body.assign(kMaxDatagramBytes - kDatagramOverheadBytes, 'x');
  EXPECT_EQ(SealEnvelope(keys, envelope).value().size(), kMaxDatagramBytes);
  envelope.body += 'x';
  EXPECT_FALSE(SealEnvelope(keys, envelope));
  EXPECT_EQ(LastReason().code, ResultCode::kPeerTooLarge);
  const std::string bytes(kMaxDatagramBytes + 1, 'x');
  EXPECT_FALSE(OpenEnvelope(keys, EnvelopeKind::kDatagram, bytes));
  EXPECT_EQ(LastReason().code, ResultCode::kPeerTooLarge);
}

TEST(PeerKeysTest, RefusesBadSets) {
  EXPECT_TRUE(CheckPeerKeys({{kOldKey, kNewKey}}));
  EXPECT_FALSE(CheckPeerKeys({{}}));
  EXPECT_FALSE(CheckPeerKeys({{kOldKey, kOldKey}}));
  EXPECT_FALSE(CheckPeerKeys({{PeerKey{1, "short"}}}));
  EXPECT_FALSE(CheckPeerKeys({{kOldKey, kNewKey, PeerKey{3, kOldKey.secret}}}));
}

TEST(BodyTest, RoundTripAndTruncationAtEveryLength) {
  const Sample sample{{"okh-a", "", "tok-a"}, 7, true};
  const std::string body = EncodeBody(sample);
  EXPECT_EQ(DecodeBody<Sample>(body), sample);
  for (size_t length = 0; length < body.size(); ++length) {
    EXPECT_FALSE(DecodeBody<Sample>(body.substr(0, length))) << length;
    EXPECT_EQ(LastReason().code, ResultCode::kPeerTruncated);
  }
  EXPECT_FALSE(DecodeBody<Sample>(body + "x"));
}

// Guards against an allocation of the size that the input states.
TEST(BodyTest, RefusesLengthsBeyondTheInput) {
  std::string body = EncodeBody(std::string("text"));
  for (size_t byte = 1; byte <= 8; ++byte) {
    std::string changed = body;
    changed[byte] = '\x7f';
    EXPECT_FALSE(DecodeBody<std::string>(changed)) << byte;
    EXPECT_FALSE(DecodeBody<std::vector<std::string>>(changed)) << byte;
  }
}

// Guards against bytes that end the process.
TEST(BodyTest, SurvivesRandomBytes) {
  constexpr uint64_t kSeed = 20260101;
  std::cout << "seed " << kSeed << "\n";
  std::mt19937_64 random(kSeed);
  for (int round = 0; round < 20000; ++round) {
    std::string body(random() % 64, '\0');
    for (char& byte : body) {
      byte = static_cast<char>(random() % 4 == 0 ? random() : random() % 3);
    }
    DecodeBody<Sample>(body);
    OpenEnvelope({{kOldKey}}, EnvelopeKind::kDatagram, body);
  }
}

// Guards against a repeat that is accepted, and a reordered datagram within
// the window that is not.
TEST(ReplayWindowTest, AcceptsEachNumberOnce) {
  ReplayWindow window;
  EXPECT_FALSE(window.Accept(0));
  EXPECT_TRUE(window.Accept(100));
  EXPECT_FALSE(window.Accept(100));
  EXPECT_TRUE(window.Accept(37));
  EXPECT_FALSE(window.Accept(37));
  EXPECT_FALSE(window.Accept(36));
  EXPECT_TRUE(window.Accept(163));
  EXPECT_FALSE(window.Accept(100));
  EXPECT_TRUE(window.Accept(101));
  EXPECT_TRUE(window.Accept(UINT64_MAX));
  EXPECT_FALSE(window.Accept(163));
}

// Compares with a set of all numbers, on random orders.
TEST(ReplayWindowTest, AgreesWithASet) {
  constexpr uint64_t kSeed = 7;
  std::cout << "seed " << kSeed << "\n";
  std::mt19937_64 random(kSeed);
  ReplayWindow window;
  std::set<uint64_t> seen;
  uint64_t highest = 0;
  for (int round = 0; round < 100000; ++round) {
    const uint64_t sequence =
        1 + highest + random() % 8 - std::min<uint64_t>(highest, random() % 80);
    const bool is_too_old = sequence + 64 <= highest;
    const bool expected = !is_too_old && !seen.contains(sequence);
    ASSERT_EQ(window.Accept(sequence), expected) << sequence;
    seen.insert(sequence);
    highest = std::max(highest, sequence);
  }
}

// Guards against memory that grows with each restart of a peer.
TEST(ReplayGuardTest, ForgetsTheSenderHeardLeastRecently) {
  ReplayGuard guard(3);
  for (uint64_t sender = 1; sender <= 3; ++sender) {
    EXPECT_TRUE(guard.Accept(MemberId{sender}, 5));
  }
  EXPECT_TRUE(guard.Accept(MemberId{1}, 6));
  EXPECT_TRUE(guard.Accept(MemberId{4}, 1));
  EXPECT_EQ(guard.size(), 3U);
  EXPECT_FALSE(guard.Accept(MemberId{1}, 6));
  EXPECT_FALSE(guard.Accept(MemberId{3}, 5));
}

}  // namespace
}  // namespace boragewharf
