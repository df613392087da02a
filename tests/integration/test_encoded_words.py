"""Tests headers with encoded words (RFC 2047): a node forwards them as they are.
Decoded, they may contain line ends, with which a caller could add headers or a
second request to its own, and a target could replace its response."""

import unittest

from platform_fleet import PlatformFleet
from raw_server import RawServer


def encoded_word(text):
    return "=?utf-8?Q?" + "".join(f"={byte:02X}" for byte in
                                  text.encode()) + "?="


SECOND_REQUEST = encoded_word(
    "a\r\n\r\nPOST /orders/smuggled HTTP/1.1\r\nHost: shop.example\r\n"
    "Attempt-Id: smuggled\r\nContent-Length: 0\r\n\r\n")
OTHER_RESPONSE = encoded_word(
    "a\r\nContent-Length: 6\r\n\r\nforged")


class EncodedWords(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(nodes=1, servers=1).__enter__()
        self.addCleanup(self.fleet.stop)
        self.raw = RawServer(self.fleet.of_service("orders")[0])
        self.addCleanup(self.raw.stop)

    def test_a_request_hidden_in_a_request_header_does_not_reach_a_target(
            self):
        def script(peer, attempt, _):
            self.raw.runs.append(attempt)
            peer.sendall(self.raw.response(attempt))
            return True
        self.raw.script = script
        status, _, _ = self.fleet.request(
            "/orders/1", method="POST", body=b"lot", attempt="note0001",
            headers={"X-Note": SECOND_REQUEST})
        self.assertEqual(status, 200)
        self.assertEqual(self.raw.runs, ["note0001"])
        self.assertIn(f"X-Note: {SECOND_REQUEST}\r\n".encode(),
                      self.raw.received[0])
        self.assertTrue(self.raw.received[0].endswith(b"\r\n\r\nlot"))

    def test_a_response_hidden_in_a_response_header_does_not_reach_the_caller(
            self):
        def script(peer, attempt, _):
            response = self.raw.response(attempt)
            peer.sendall(response.replace(
                b"\r\n", f"\r\nX-Note: {OTHER_RESPONSE}\r\n".encode(), 1))
            return True
        self.raw.script = script
        status, headers, body = self.fleet.request(
            "/orders/1", method="POST", body=b"lot", attempt="note0002")
        self.assertEqual(status, 200)
        self.assertEqual(headers["X-Note"], OTHER_RESPONSE)
        self.assertEqual(body, f"from {self.raw.id}")


if __name__ == "__main__":
    unittest.main()
