"""Prove knowledge of the fleet's shared secret in answer to a challenge."""

import hmac
from random import Random

NONCE_BYTES = 16


def make_nonce(random: Random) -> bytes:
    """Return a fresh nonce."""
    return random.randbytes(NONCE_BYTES)


def make_proof(secret: bytes, nonce: bytes, prover_id: str, verifier_id: str) -> bytes:
    """Return the proof that binds a secret to both peers and the nonce."""
    # The proof covers both ids, so that it cannot be reflected to its verifier.
    text = b"\x00".join((nonce, prover_id.encode(), verifier_id.encode()))
    return hmac.digest(secret, text, "sha256")


def proof_matches(
    proof: bytes, secret: bytes, nonce: bytes, prover_id: str, verifier_id: str
) -> bool:
    """Tell whether a proof was made with the secret for these peers and this nonce."""
    expected = make_proof(secret, nonce, prover_id, verifier_id)
    return hmac.compare_digest(proof, expected)
