use super::*;
use quickcheck::{Gen, QuickCheck};

/// For each answer: status, `Retry-After`, whether the connection closes, and body; or the error that ended
/// reading.
type Answers = Vec<Result<(u16, Option<Millis>, bool, Vec<u8>), AnswerError>>;

/// Reads the answers in `bytes`, which arrive in parts cut at `cuts` (modulo the length), followed by the end
/// of input.
fn read(bytes: &[u8], cuts: &[u16]) -> Answers {
    let mut places: Vec<usize> = cuts.iter().map(|cut| usize::from(*cut) % (bytes.len() + 1)).collect();
    places.extend([0, bytes.len(), bytes.len()]);
    places.sort_unstable();
    let (mut buffer, mut reader, mut answers) = (BytesMut::new(), AnswerReader::new(1000), Answers::new());
    for (i, pair) in places.windows(2).enumerate() {
        buffer.extend_from_slice(&bytes[pair[0]..pair[1]]);
        loop {
            match reader.read(&mut buffer, i + 2 == places.len()) {
                Ok(Some((head, body))) => answers.push(Ok((head.status, head.retry_after, head.close, body))),
                Ok(None) => break,
                Err(e) => {
                    answers.push(Err(e));
                    return answers;
                }
            }
        }
    }
    answers
}

const ANSWERS: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 103 X\r\n\r\n\
    HTTP/1.1 429 No\r\nRetry-After: 0.25\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nde\r\n0\r\nT: 1\r\n\r\n\
    HTTP/1.1 503 No\r\nRetry-After: -1\r\nContent-Length: 0\r\n\r\nHTTP/1.0 200 OK\r\n\r\nrest";

fn check(property: fn(Vec<u8>, Vec<u16>) -> bool) {
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 11)).tests(400).quickcheck(property);
}

#[test]
fn reads_the_same_answers_wherever_the_input_is_cut() {
    let answers = read(ANSWERS, &[]);
    let expected: Answers = vec![
        Ok((200, None, false, b"abc".to_vec())),
        Ok((429, Some(250.0), false, b"de".to_vec())),
        Ok((503, None, false, vec![])),
        Ok((200, None, true, b"rest".to_vec())),
    ];
    assert_eq!(answers, expected);
    check(|_, cuts| read(ANSWERS, &cuts) == read(ANSWERS, &[]));
}

#[test]
fn reports_invalid_input_as_an_error_without_a_panic_or_an_endless_loop() {
    check(|garbage, cuts| read(&garbage, &cuts).len() <= garbage.len() + 1);
    check(|garbage, cuts| {
        let mut damaged = ANSWERS.to_vec();
        for (byte, at) in garbage.iter().zip(&cuts).take(3) {
            let at = usize::from(*at) % damaged.len();
            damaged[at] = *byte;
        }
        read(&damaged, &cuts).len() <= damaged.len()
    });
    let last = |text: &str| read(text.as_bytes(), &[]).pop();
    assert_eq!(last("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n"), Some(Err(AnswerError::BodyTooLong)));
    assert_eq!(
        last("HTTP/1.1 200 OK\r\nContent-Length: 3221225472000000000000\r\n\r\n"),
        Some(Err(AnswerError::BodyTooLong))
    );
    assert_eq!(last("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"), Some(Err(AnswerError::Malformed)));
    let both = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(last(both), Some(Err(AnswerError::Malformed)));
    assert_eq!(last(&"HTTP/1.1 103 X\r\n\r\n".repeat(1000)), Some(Err(AnswerError::HeadTooLong)));
    assert_eq!(
        last(&format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(9000))),
        Some(Err(AnswerError::HeadTooLong))
    );
    assert_eq!(
        last(&format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(1001))),
        Some(Err(AnswerError::BodyTooLong))
    );
}
